#include "Lagoonward/Relay/RelayRun.h"

#include <algorithm>
#include <utility>

// Part of RelayRun: keeps a stream at the software version that began it.

namespace lagoonward {

bool
RelayRun::IsTakenUp() const
{
  return this->call.route->kind == RelayKind::Stream && !this->call.lastEventId.empty();
}

void
RelayRun::FindOrigin()
{
  if (this->call.resumedId.empty()) {
    this->OnOrigin(std::nullopt);
    return;
  }
  const auto onFound = [this, aliveToken = std::weak_ptr(this->aliveToken),
                        &loop = this->context.loop](const std::optional<StreamOrigin>& aOrigin) {
    loop.Post([this, aliveToken, aOrigin] {
      if (!aliveToken.expired() && !this->ended) {
        this->OnOrigin(aOrigin);
      }
    });
  };
  this->context.streamOrigins->Find(StreamKeyOf(this->call.account, this->call.resumedId), onFound);
}

void
RelayRun::OnOrigin(const std::optional<StreamOrigin>& aOrigin)
{
  if (!aOrigin) {
    this->context.observer.OnResumption(this->call, ResumptionOutcome::UnknownOrigin, {});
    this->Fail(
      Error(ErrorKind::UnknownOrigin,
            "What began this stream is not known here, so it cannot be continued; it can be "
            "started again without Last-Event-Id."));
    return;
  }
  const auto& services = this->call.route->services;
  const bool isRouted = std::any_of(services.begin(), services.end(), [&](const auto& aService) {
    return aService.name == aOrigin->service;
  });
  if (!isRouted) {
    // The operator has moved the route, and lets the new service continue what the old one began
    this->context.observer.OnResumption(this->call, ResumptionOutcome::ServiceChanged,
                                        aOrigin->softwareVersion);
    this->Dispatch();
    return;
  }
  this->call.service = aOrigin->service;
  this->origin = aOrigin;
  this->context.observer.OnResumption(this->call,
                                      this->IsVersionGone() ? ResumptionOutcome::VersionGone
                                                            : ResumptionOutcome::Continued,
                                      aOrigin->softwareVersion);
  this->endpointWaitSince = this->context.loop.GetClock().Now();
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

Milliseconds
RelayRun::EndpointWaitLimit() const
{
  const RelayRoute& route = *this->call.route;
  const RelaySettings& settings = this->context.settings;
  // A stream that was begun has no other way to go on, and its caller bears a pause of that length
  return this->origin ? Scale(route.eventIntervalTarget, settings.resumptionWaitFactor)
                      : Scale(route.firstEventTarget, settings.endpointWaitFactor);
}

} // namespace lagoonward
