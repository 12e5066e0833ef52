#include "Lagoonward/Daemon/CrashExchange.h"

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <algorithm>

namespace lagoonward {

namespace {

const Log kLog("poison");

} // namespace

CrashExchange::CrashExchange(const CrashExchangeSettings& aSettings, KeyOwnerDirectory& aOwners,
                             MembershipService& aMembership, PoisonRequestFilter& aPoisonFilter,
                             const Clock& aClock)
  : settings(aSettings)
  , owners(aOwners)
  , membership(aMembership)
  , poisonFilter(aPoisonFilter)
  , clock(aClock)
{
  this->membership.Transport().OnRequest(
    ToRequestType(this->settings.message),
    [this](PeerKey, std::string_view aBytes, const PeerTransport::Responder& aRespond) {
      const auto report = DecodeMessage<CrashReport>(aBytes);
      if (report) {
        this->poisonFilter.OnRemoteCrash(report.value());
      } else {
        kLog.Warning("Received a malformed crash report from a peer; ignored.");
      }
      aRespond(std::string());
    });
  this->poisonFilter.SetReportListener([this](const CrashReport& aReport) {
    this->membership.Loop().Post([this, report = aReport] { this->AddCrash(report); });
  });
}

void
CrashExchange::OnKeyOwnersChanged()
{
  for (ObservedCrash& crash : this->observed) {
    this->NotifyOwners(crash);
  }
}

void
CrashExchange::AddCrash(const CrashReport& aReport)
{
  kLog.Event("endpoint_lost", { { "print", aReport.request }, { "endpoint", aReport.endpoint } });
  if (this->observed.size() >= this->settings.maximumRetained) {
    this->observed.pop_front();
  }
  this->observed.push_back({ aReport, this->clock.Now() - Milliseconds(aReport.age), {} });
  this->NotifyOwners(this->observed.back());
}

void
CrashExchange::NotifyOwners(ObservedCrash& aCrash)
{
  for (const PeerAddress& owner : this->owners.OtherOwnersOf(aCrash.report.request)) {
    if (std::find(aCrash.notified.begin(), aCrash.notified.end(), owner.key) ==
        aCrash.notified.end()) {
      aCrash.notified.push_back(owner.key);
      this->SendReport(owner, aCrash.report, aCrash.observedAt, this->settings.maximumAttempts);
    }
  }
}

void
CrashExchange::SendReport(const PeerAddress& aOwner, const CrashReport& aReport,
                          TimePoint aObservedAt, int aAttemptsLeft)
{
  CrashReport report = aReport;
  const std::int64_t age =
    std::chrono::floor<Milliseconds>(this->clock.Now() - aObservedAt).count();
  report.sentAge += age - report.age;
  report.age = age;
  this->membership.Transport().Request(
    aOwner, ToRequestType(this->settings.message), EncodeMessage(report), this->settings.timeout,
    [this, aOwner, aReport, aObservedAt, aAttemptsLeft](const Result<std::string>& aResponse) {
      if (!aResponse && aAttemptsLeft > 1) {
        this->membership.Loop().After(
          this->settings.retryDelay, [this, aOwner, aReport, aObservedAt, aAttemptsLeft] {
            this->SendReport(aOwner, aReport, aObservedAt, aAttemptsLeft - 1);
          });
      }
    });
}

} // namespace lagoonward
