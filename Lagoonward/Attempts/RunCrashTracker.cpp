#include "Lagoonward/Attempts/RunCrashTracker.h"

#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

#include <utility>

namespace lagoonward {

namespace {

/// Parts of an answer after which its prompt is considered harmless, and its request less likely to be the cause of a
/// crash. Not the first: it may arrive before the endpoint crashes.
constexpr int kProvingProgress = 3;

} // namespace

RunCrashTracker::RunCrashTracker(std::uint64_t aRequest, PoisonRequestFilter& aFilter,
                                 CrashProbe& aCrashProbe, const FleetStore& aFleet,
                                 const Clock& aClock, SharedParts aParts)
  : request(aRequest)
  , filter(aFilter)
  , crashProbe(aCrashProbe)
  , fleet(aFleet)
  , clock(aClock)
  , parts(std::move(aParts))
{
}

bool
RunCrashTracker::IsPoisoned()
{
  return this->filter.IsPoisoned(this->request) ||
         (this->parts.filter != nullptr && this->parts.filter->IsAnyPoisoned(this->parts.keys));
}

Error
RunCrashTracker::PoisonError(Ran aRan)
{
  return Error(ErrorKind::PoisonRequest,
               "Endpoints crashed that ran this request. It will not be served.", aRan);
}

void
RunCrashTracker::OnSent(const Endpoint& aEndpoint)
{
  this->endpointId = aEndpoint.id;
  this->address = fmt::format("{}:{}", aEndpoint.address, aEndpoint.port);
  this->endpoint = EndpointKeyOf(aEndpoint);
  this->domain = HashBytes(aEndpoint.failureDomain);
  this->sentAt = this->clock.Now();
  this->progress = 0;
}

void
RunCrashTracker::OnProgress()
{
  if (++this->progress == kProvingProgress) {
    this->ProveParts();
  }
}

void
RunCrashTracker::OnRequestCompleted(bool aHadContent)
{
  this->filter.OnRequestCompleted(this->request);
  if (aHadContent) {
    this->ProveParts();
  }
}

void
RunCrashTracker::ProveParts()
{
  if (this->parts.filter == nullptr || std::exchange(this->arePartsProven, true)) {
    return;
  }
  for (const std::uint64_t key : this->parts.keys) {
    this->parts.filter->OnRequestCompleted(key);
  }
}

void
RunCrashTracker::OnRestarted()
{
  if (this->WasEndpointLive()) {
    for (const CrashEvidence& evidence : this->MakeEvidence()) {
      evidence.filter->OnCrash(evidence.report);
    }
  }
}

void
RunCrashTracker::OnConnectionLost(std::function<void()> aOnKnown)
{
  if (!this->WasEndpointLive()) {
    aOnKnown();
    return;
  }
  this->crashProbe.OnConnectionLost(
    this->address, this->MakeEvidence(),
    [alive = std::weak_ptr(this->lifetimeToken), onKnown = std::move(aOnKnown)] {
      if (!alive.expired()) {
        onKnown();
      }
    });
}

bool
RunCrashTracker::WasEndpointLive() const
{
  const FleetSnapshotPtr snapshot = this->fleet.Get();
  const Endpoint* known = snapshot->Find(this->endpointId);
  return known != nullptr && known->state != EndpointState::Leaving;
}

std::vector<CrashEvidence>
RunCrashTracker::MakeEvidence() const
{
  std::vector<CrashEvidence> evidence{ { &this->filter, this->MakeReport(this->request) } };
  if (this->parts.filter == nullptr || this->arePartsProven) {
    return evidence;
  }
  for (const std::uint64_t key : this->parts.keys) {
    CrashReport report = this->MakeReport(key);
    report.companions = this->CompanionsOf(key);
    evidence.push_back({ this->parts.filter, report });
  }
  return evidence;
}

CompanionKeys
RunCrashTracker::CompanionsOf(std::uint64_t aPart) const
{
  CompanionKeys companions;
  for (const std::uint64_t key : this->parts.keys) {
    if (key != aPart && !this->parts.filter->HasCompletedRecently(key)) {
      companions.Add(key);
    }
  }
  return companions;
}

CrashReport
RunCrashTracker::MakeReport(std::uint64_t aKey) const
{
  CrashReport report;
  report.request = aKey;
  report.endpoint = this->endpoint;
  report.domain = this->domain;
  report.sentAge = std::chrono::floor<Milliseconds>(this->clock.Now() - this->sentAt).count();
  // The first parts may arrive before the request crashes the endpoint
  report.hadPartialAnswer = this->progress >= kProvingProgress;
  return report;
}

} // namespace lagoonward
