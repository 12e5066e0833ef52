#include "Lagoonward/Relay/RelayRun.h"

#include <algorithm>
#include <utility>

// Part of RelayRun: keeps a stream at the software version that began it.

namespace lagoonward {

void
RelayRun::FindOrigin()
{
  // If the caller names no request, no origin is found, but the service may have run one version only
  const std::string& id = this->call.resumedId.empty() ? this->call.id : this->call.resumedId;
  const auto onFound = [this, aliveToken = std::weak_ptr(this->aliveToken),
                        &loop = this->context.loop](const StreamOriginReply& aReply) {
    loop.Post([this, aliveToken, aReply] {
      if (!aliveToken.expired() && !this->ended) {
        this->OnOriginReply(aReply);
      }
    });
  };
  this->context.streamOrigins->Find(
    { StreamKeyOf(this->call.account, id), this->call.service, kMaximumStreamAge }, onFound);
}

void
RelayRun::OnOriginReply(const StreamOriginReply& aReply)
{
  if (aReply.origin) {
    this->ContinueFrom(*aReply.origin, ResumptionOutcome::Continued);
    return;
  }
  const bool hasOneService = this->call.route->services.size() == 1;
  if (!aReply.soleVersion || !hasOneService || this->context.versions == nullptr) {
    this->RefuseUnknownOrigin();
    return;
  }
  this->ContinueAtSoleVersion(*aReply.soleVersion, this->context.loop.GetClock().BootNow());
}

void
RelayRun::ContinueAtSoleVersion(const std::string& aVersion, TimePoint aAskedAt)
{
  this->endpointWaitTimer.reset();
  if (this->ended) {
    return;
  }
  // Whatever began the stream was in the source before its caller asked, so a snapshot of then shows all versions
  if (this->context.versions->IsCurrentAsOf(aAskedAt)) {
    const ServiceVersions seen =
      this->context.versions->VersionsOf(this->call.service, kMaximumStreamAge);
    if (seen.count == 1 && seen.version == aVersion) {
      this->ContinueFrom({ this->call.service, aVersion }, ResumptionOutcome::SoleVersion);
    } else {
      this->RefuseUnknownOrigin();
    }
    return;
  }
  if (this->context.loop.GetClock().BootNow() - aAskedAt >
      this->context.settings.currentSnapshotWait) {
    this->RefuseUnknownOrigin();
    return;
  }
  this->endpointWaitTimer = this->context.loop.RunAfter(
    this->context.settings.endpointRetryInterval,
    [this, aVersion, aAskedAt] { this->ContinueAtSoleVersion(aVersion, aAskedAt); });
}

void
RelayRun::RefuseUnknownOrigin()
{
  this->context.observer.OnResumption(this->call, ResumptionOutcome::UnknownOrigin, {});
  this->Fail(Error(ErrorKind::UnknownOrigin,
                   "What began this stream is not known here, so it cannot be continued; it can be "
                   "started again without Last-Event-Id."));
}

void
RelayRun::ContinueFrom(const StreamOrigin& aOrigin, ResumptionOutcome aOutcome)
{
  const auto& services = this->call.route->services;
  const bool isRouted = std::any_of(services.begin(), services.end(), [&](const auto& aService) {
    return aService.name == aOrigin.service;
  });
  if (!isRouted) {
    // The operator has moved the route, and lets the new service continue what the old one began
    this->context.observer.OnResumption(this->call, ResumptionOutcome::ServiceChanged,
                                        aOrigin.softwareVersion);
    this->Dispatch();
    return;
  }
  this->call.service = aOrigin.service;
  this->origin = aOrigin;
  this->context.observer.OnResumption(
    this->call, this->IsVersionGone() ? ResumptionOutcome::VersionGone : aOutcome,
    aOrigin.softwareVersion);
  this->RestartEndpointWait();
  this->Dispatch();
}

void
RelayRun::RecordOrigin()
{
  const TimePoint now = this->context.loop.GetClock().Now();
  if (!this->origin) {
    this->origin = StreamOrigin{ this->call.service, this->endpointVersion };
  }
  const bool isDue = !this->originRecordedAt ||
                     now - *this->originRecordedAt >= this->context.settings.originRecordInterval;
  if (!this->call.route->resumable || !isDue) {
    return;
  }
  this->originRecordedAt = now;
  const std::string& id = this->call.resumedId.empty() ? this->call.id : this->call.resumedId;
  this->context.streamOrigins->Record(StreamKeyOf(this->call.account, id), *this->origin);
}

void
RelayRun::RecordUnknownOrigin()
{
  this->origin = StreamOrigin{ this->call.service, std::string(kUnknownSoftwareVersion) };
  this->originRecordedAt.reset();
  this->RecordOrigin();
}

bool
RelayRun::IsVersionGone() const
{
  if (!this->origin) {
    return false;
  }
  const FleetSnapshotPtr fleet = this->context.fleet.Get();
  return std::none_of(fleet->endpoints.begin(), fleet->endpoints.end(), [&](const auto& aEndpoint) {
    return aEndpoint.name == this->origin->service &&
           aEndpoint.softwareVersion == this->origin->softwareVersion &&
           aEndpoint.state == EndpointState::Live;
  });
}

void
RelayRun::RestartEndpointWait()
{
  if (this->origin) {
    this->endpointWaitSince = this->context.loop.GetClock().Now();
  }
}

Milliseconds
RelayRun::EndpointWaitLimit() const
{
  const RelayRoute& route = *this->call.route;
  const RelaySettings& settings = this->context.settings;
  // A stream that was begun has no other way to go on, and its caller bears a pause of that length
  if (this->origin) {
    return Scale(route.eventIntervalTarget, settings.resumptionWaitFactor);
  }
  // Owners of places and slots may be changing
  const bool needsRoom =
    this->context.brittleServices.IsBrittle(this->call.service) || this->IsQueued();
  return Scale(route.firstEventTarget,
               needsRoom ? settings.placeWaitFactor : settings.endpointWaitFactor);
}

} // namespace lagoonward
