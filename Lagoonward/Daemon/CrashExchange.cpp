#include "Lagoonward/Daemon/CrashExchange.h"

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <algorithm>

namespace lagoonward {

namespace {

const Log kLog("poison");

/// The message, a CrashReport; numbers above RequestType::FirstForeign are this folder's.
constexpr auto kCrash =
  static_cast<RequestType>(static_cast<std::uint16_t>(RequestType::FirstForeign) + 7);

} // namespace

CrashExchange::CrashExchange(const CrashExchangeSettings& aSettings, KeeperDirectory& aKeepers,
                             MembershipService& aMembership, PoisonGuard& aGuard,
                             const Clock& aClock)
  : settings(aSettings)
  , keepers(aKeepers)
  , membership(aMembership)
  , guard(aGuard)
  , clock(aClock)
{
  this->membership.Transport().OnRequest(
    kCrash, [this](PeerKey, std::string_view aBytes, const PeerTransport::Respond& aRespond) {
      const auto report = DecodeMessage<CrashReport>(aBytes);
      if (report) {
        this->guard.OnToldCrash(report.value());
      } else {
        kLog.Warning("A daemon sent a malformed report of a crash.");
      }
      aRespond(std::string());
    });
  this->guard.OnReport([this](const CrashReport& aReport) {
    this->membership.Loop().Post([this, report = aReport] { this->Add(report); });
  });
}

void
CrashExchange::OnKeepers()
{
  for (Seen& each : this->seen) {
    this->TellKeepers(each);
  }
}

void
CrashExchange::Add(const CrashReport& aReport)
{
  kLog.Event("endpoint_lost", { { "print", aReport.request }, { "endpoint", aReport.endpoint } });
  if (this->seen.size() >= this->settings.maximumOwn) {
    this->seen.pop_front();
  }
  this->seen.push_back({ aReport, this->clock.Now() - Milliseconds(aReport.age), {} });
  this->TellKeepers(this->seen.back());
}

void
CrashExchange::TellKeepers(Seen& aSeen)
{
  for (const PeerAddress& keeper : this->keepers.OthersFor(aSeen.report.request)) {
    if (std::find(aSeen.told.begin(), aSeen.told.end(), keeper.key) == aSeen.told.end()) {
      aSeen.told.push_back(keeper.key);
      this->Tell(keeper, aSeen.report, aSeen.at, this->settings.attempts);
    }
  }
}

void
CrashExchange::Tell(const PeerAddress& aKeeper, const CrashReport& aReport, TimePoint aAt,
                    int aLeft)
{
  CrashReport report = aReport;
  const std::int64_t since = std::chrono::floor<Milliseconds>(this->clock.Now() - aAt).count();
  report.sentAge += since - report.age;
  report.age = since;
  this->membership.Transport().Request(
    aKeeper, kCrash, EncodeMessage(report), this->settings.timeout,
    [this, aKeeper, aReport, aAt, aLeft](const Result<std::string>& aAnswer) {
      if (!aAnswer && aLeft > 1) {
        this->membership.Loop().After(this->settings.pause, [this, aKeeper, aReport, aAt, aLeft] {
          this->Tell(aKeeper, aReport, aAt, aLeft - 1);
        });
      }
    });
}

} // namespace lagoonward
