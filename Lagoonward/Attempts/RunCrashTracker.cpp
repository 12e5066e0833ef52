#include "Lagoonward/Attempts/RunCrashTracker.h"

#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

namespace lagoonward {

RunCrashTracker::RunCrashTracker(std::uint64_t aRequest, PoisonRequestFilter& aFilter,
                                 CrashProbe& aCrashProbe, const FleetStore& aFleet,
                                 const Clock& aClock)
  : request(aRequest)
  , filter(aFilter)
  , crashProbe(aCrashProbe)
  , fleet(aFleet)
  , clock(aClock)
{
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
  this->hasPartialAnswer = false;
}

void
RunCrashTracker::OnRestarted()
{
  if (this->WasEndpointLive()) {
    this->filter.OnCrash(this->MakeReport());
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
    this->filter, this->address, this->MakeReport(),
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

CrashReport
RunCrashTracker::MakeReport() const
{
  CrashReport report;
  report.request = this->request;
  report.endpoint = this->endpoint;
  report.domain = this->domain;
  report.sentAge = std::chrono::floor<Milliseconds>(this->clock.Now() - this->sentAt).count();
  report.hadPartialAnswer = this->hasPartialAnswer;
  return report;
}

} // namespace lagoonward
