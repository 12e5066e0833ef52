#include "Lagoonward/Attempts/CrashWitness.h"

#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

namespace lagoonward {

CrashWitness::CrashWitness(std::uint64_t aRequest, PoisonGuard& aGuard, CrashCheck& aCheck,
                           const FleetStore& aFleet, const Clock& aClock)
  : request(aRequest)
  , guard(aGuard)
  , check(aCheck)
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
  this->hasBegun = false;
}

void
CrashWitness::OnRestarted()
{
  if (this->WasLive()) {
    this->guard.OnCrash(this->MakeReport());
  }
}

void
CrashWitness::OnConnectionLost(std::function<void()> aKnown)
{
  if (!this->WasLive()) {
    aKnown();
    return;
  }
  this->check.OnConnectionLost(this->guard, this->address, this->MakeReport(),
                               [gone = std::weak_ptr(this->life), known = std::move(aKnown)] {
                                 if (!gone.expired()) {
                                   known();
                                 }
                               });
}

bool
CrashWitness::WasLive() const
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
  report.hadBegun = this->hasBegun;
  return report;
}

} // namespace lagoonward
