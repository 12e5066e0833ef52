#include "Lagoonward/Relay/RelayRun.h"

#include <fmt/format.h>

#include <utility>

// Part of RelayRun: continues a run that its endpoint has stopped, wherever its state is.

namespace lagoonward {

void
RelayRun::ContinueFromState()
{
  this->CancelHeldEndTimer();
  this->awaitsLastEvents = false;
  this->heldEnd.reset();
  if (this->attempt != nullptr) {
    this->CancelAttempt(DispatchOutcome::Cancelled);
  } else {
    this->place.End(PlaceAction::Release);
    this->slot.End(SlotAction::Withdraw);
    this->context.router.OnFinished(this->dispatch, DispatchOutcome::Cancelled);
  }
  // The same run continues, so this does not count as another send
  --this->sends;
  if (!this->stoppedState->isAtDestination) {
    this->movePlace.End(PlaceAction::Release);
    this->ContinueAtSource();
    return;
  }
  this->place = std::move(this->movePlace);
  this->ContinueAt(*std::exchange(this->moveDestination, {}),
                   this->ReachableUntil(this->destinationLiveAsOf));
}

void
RelayRun::ContinueAtSource()
{
  this->stoppedState->isAtDestination = false;
  RouteChoice source = this->stoppedState->source;
  source.fetchFrom.reset();
  this->ContinueAt(source, this->stoppedState->sourceReachableUntil);
}

void
RelayRun::ContinueAt(const RouteChoice& aChoice, TimePoint aReachableUntil)
{
  SnapshotGuard* const guard = this->context.snapshotGuard;
  const bool isKnown = guard == nullptr ||
                       this->context.loop.GetClock().BootNow() < aReachableUntil ||
                       guard->MaySend();
  if (!isKnown) {
    // A newer snapshot will say whether the endpoint is leaving
    this->endpointWaitTimer = this->context.loop.RunAfter(
      this->context.settings.snapshotRecheckInterval, [this, aChoice, aReachableUntil] {
        this->endpointWaitTimer.reset();
        if (!this->ended) {
          this->ContinueAt(aChoice, aReachableUntil);
        }
      });
    return;
  }
  const FleetSnapshotPtr fleet = this->context.fleet.Get();
  if (fleet->Find(aChoice.Target().id) != nullptr) {
    this->continuation = Continuation{ fmt::format("{}/{}", this->stoppedState->sourceAddress,
                                                   this->stoppedState->handle),
                                       aReachableUntil };
    this->BeginAttempt(aChoice, this->MakeRouteRequest());
    return;
  }
  this->place.End(PlaceAction::Release);
  if (this->stoppedState->isAtDestination) {
    this->ContinueAtSource();
    return;
  }
  this->FailWithoutState();
}

void
RelayRun::FailWithoutState()
{
  // No other endpoint has the state, and the run must not begin anew
  ++this->sends;
  this->lastReason = "the endpoints that have the state of the stopped run are gone";
  this->Fail(Error(ErrorKind::OutcomeUnknown, this->lastReason, Ran::Unknown));
}

bool
RelayRun::TryContinueAtSource(const AttemptResult& aEnd)
{
  if (!this->stoppedState) {
    return false;
  }
  if (!IsProvenNotRun(aEnd)) {
    this->stoppedState.reset(); // The copy may have been used
    return false;
  }
  if (!this->stoppedState->isAtDestination) {
    return false;
  }
  this->EndAttemptRecords(aEnd);
  this->context.observer.OnAttemptFailed(
    this->call, { this->endpointId, aEnd.cause, aEnd.reason, true, {}, aEnd.response });
  --this->sends;
  this->ContinueAtSource();
  return true;
}

void
RelayRun::RecordLive()
{
  // Other requests are not moved
  const bool mayBeMoved =
    this->call.route->kind == RelayKind::Stream && !this->call.route->resumable;
  if (this->context.snapshotGuard == nullptr || this->attempt == nullptr || !mayBeMoved) {
    return;
  }
  // Before the snapshot is read, so that the snapshot contains all that was acknowledged before
  const std::optional<TimePoint> asOf = this->context.snapshotGuard->AsOf();
  const FleetSnapshotPtr fleet = this->context.fleet.Get();
  const auto isLive = [&](std::string_view aId) {
    const Endpoint* endpoint = fleet->Find(aId);
    return endpoint != nullptr && endpoint->state == EndpointState::Live;
  };
  if (isLive(this->endpointId)) {
    this->sourceLiveAsOf = asOf;
  }
  if (this->moveDestination && isLive(this->moveDestination->Target().id)) {
    this->destinationLiveAsOf = asOf;
  }
}

TimePoint
RelayRun::ReachableUntil(const std::optional<TimePoint>& aLiveAsOf) const
{
  if (this->context.snapshotGuard == nullptr) {
    return TimePoint::max();
  }
  const RelaySettings& settings = this->context.settings;
  return aLiveAsOf ? *aLiveAsOf + settings.leavingNotice - settings.leavingNoticeMargin
                   : TimePoint::min();
}

} // namespace lagoonward
