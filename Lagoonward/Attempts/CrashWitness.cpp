#include "Lagoonward/Attempts/CrashWitness.h"

#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

namespace lagoonward {

CrashWitness::CrashWitness(std::uint64_t aRequest, PoisonGuard& aGuard, CrashCheck& aCrashCheck,
                           const FleetStore& aFleet, const Clock& aClock)
  : request(aRequest)
  , guard(aGuard)
  , crashCheck(aCrashCheck)
  , fleet(aFleet)
  , clock(aClock)
{
}

Error
CrashWitness::PoisonError(Ran aRan)
{
  return Error(ErrorKind::PoisonRequest,
               "Endpoints crashed that ran this request. It will not be served.", aRan);
}

void
CrashWitness::OnSent(const Endpoint& aEndpoint)
{
  this->endpointId = aEndpoint.id;
  this->address = fmt::format("{}:{}", aEndpoint.address, aEndpoint.port);
  this->endpoint = EndpointKeyOf(aEndpoint);
  this->domain = HashBytes(aEndpoint.failureDomain);
  this->sentAt = this->clock.Now();
  this->hasPartialAnswer = false;
}

void
CrashWitness::OnRestarted()
{
  if (this->WasEndpointLive()) {
    this->guard.OnCrash(this->MakeReport());
  }
}

void
CrashWitness::OnConnectionLost(std::function<void()> aOnKnown)
{
  if (!this->WasEndpointLive()) {
    aOnKnown();
    return;
  }
  this->crashCheck.OnConnectionLost(
    this->guard, this->address, this->MakeReport(),
    [alive = std::weak_ptr(this->lifetimeToken), onKnown = std::move(aOnKnown)] {
      if (!alive.expired()) {
        onKnown();
      }
    });
}

bool
CrashWitness::WasEndpointLive() const
{
  const FleetSnapshotPtr snapshot = this->fleet.Get();
  const Endpoint* known = snapshot->Find(this->endpointId);
  return known != nullptr && known->state != EndpointState::Leaving;
}

CrashReport
CrashWitness::MakeReport() const
{
  CrashReport report;
  report.request = this->request;
  report.endpoint = this->endpoint;
  report.domain = this->domain;
  report.sentAge = std::chrono::floor<Milliseconds>(this->clock.Now() - this->sentAt).count();
  report.hadBegun = this->hasPartialAnswer;
  return report;
}

} // namespace lagoonward
