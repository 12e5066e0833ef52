#include "Lagoonward/Relay/RelayRun.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

// Part of RelayRun: moves the stream off a leaving endpoint.

namespace lagoonward {

namespace {

MoveKnowledge
KnowledgeOf(const MoveResult& aEnd)
{
  if (aEnd.moved) {
    return MoveKnowledge::Moved;
  }
  switch (aEnd.stopState) {
    case StopState::NotStopped:
      return MoveKnowledge::NotStopped;
    case StopState::Stopped:
      return MoveKnowledge::Stopped;
    case StopState::Unknown:
      break;
  }
  return MoveKnowledge::Unknown;
}

} // namespace

bool
RelayRun::IsWorthMoving() const
{
  // Processing the prompt again costs less than copying the state, so a resumable stream is resumed instead
  if (this->call.route->resumable) {
    return false;
  }
  const double expected = std::max(this->call.outputTokens, 1);
  const double completedFraction =
    static_cast<double>(this->forwardedEvents) * this->call.tokensPerEvent / expected;
  return this->streaming && completedFraction < this->context.settings.finishInPlaceRatio;
}

void
RelayRun::OnFleet(const FleetSnapshot& aFleet)
{
  this->RecordLive();
  if (this->ended || this->attempt == nullptr || this->awaitsLastEvents) {
    return;
  }
  const Endpoint* endpoint = aFleet.Find(this->endpointId);
  if (endpoint != nullptr && endpoint->incarnation > this->endpointIncarnation) {
    this->OnLaterIncarnation(*endpoint);
    return;
  }
  if (this->move != nullptr || this->lastMoveSource == this->endpointId || !this->IsWorthMoving()) {
    return;
  }
  if (endpoint != nullptr && endpoint->movesStreams && endpoint->state == EndpointState::Leaving) {
    this->BeginMove(*endpoint);
  }
}

void
RelayRun::OnLaterIncarnation(const Endpoint& aEndpoint)
{
  if (!this->attemptHasEvents || aEndpoint.softwareVersion == this->endpointVersion) {
    this->OnEndpointRestarted();
    return;
  }
  // The restart is known late, so either process may have written the events. If it was the former one, its connection
  // breaks; until then the stream goes on, but no other endpoint may continue it
  this->endpointIncarnation = aEndpoint.incarnation;
  this->endpointVersion = aEndpoint.softwareVersion;
  this->RecordUnknownOrigin();
}

void
RelayRun::BeginMove(const Endpoint& aSource)
{
  const std::vector<std::string> restricted = this->context.gate.RestrictedEndpoints();
  std::vector<std::string_view> avoided(restricted.begin(), restricted.end());
  avoided.push_back(this->endpointId);
  RouteRequest request = this->MakeRouteRequest();
  request.excludedEndpoints = avoided;
  // The state of a run contains what it has generated, also before the caller has received an event
  request.softwareVersion = aSource.softwareVersion;
  auto choice = this->context.router.Choose(request);
  const FleetSnapshotPtr fleet = this->context.fleet.Get();
  const Endpoint* target = choice ? fleet->Find(choice.value().Target().id) : nullptr;
  if (target == nullptr) {
    return;
  }
  this->lastMoveSource = this->endpointId;
  if (!this->context.brittleServices.IsBrittle(this->call.service)) {
    this->StartMove(this->endpointId, choice.value());
    return;
  }
  const Milliseconds wait = this->context.settings.placeQueueTime;
  this->AskForPlace(this->MakePlaceUse(*target), wait, wait,
                    [this, source = this->endpointId,
                     destination = choice.value()](PlaceHold aPlace, const PlaceReply& aReply) {
                      const bool isCurrent = this->attempt != nullptr && this->move == nullptr &&
                                             this->endpointId == source;
                      if (aReply.answer != PlaceAnswer::Granted || !isCurrent) {
                        aPlace.End(PlaceAction::Release);
                        return;
                      }
                      this->movePlace = std::move(aPlace);
                      this->StartMove(source, destination);
                    });
}

void
RelayRun::StartMove(const std::string& aSource, const RouteChoice& aDestination)
{
  const FleetSnapshotPtr fleet = this->context.fleet.Get();
  const Endpoint* source = fleet->Find(aSource);
  const Endpoint* target = fleet->Find(aDestination.Target().id);
  if (source == nullptr || target == nullptr) {
    this->movePlace.End(PlaceAction::Release);
    return;
  }
  this->moveDestination = aDestination;
  this->destinationLiveAsOf.reset();
  this->moveSourceAddress = fmt::format("{}:{}", source->address, source->port);
  this->RecordLive();
  this->move =
    std::make_unique<RelayMove>(this->context.loop, this->context.dialect,
                                [this](const MoveResult& aEnd) { this->OnMoveFinished(aEnd); });
  this->lastMove = MoveKnowledge::NoReply;
  // A reply that comes late still says whether the run was stopped
  const TimePoint now = this->context.loop.GetClock().Now();
  const auto remaining = std::chrono::ceil<Milliseconds>(this->call.EffectiveDeadline() - now);
  this->move->Start(this->call, this->moveSourceAddress,
                    fmt::format("{}:{}", target->address, target->port),
                    std::max(remaining, this->context.settings.moveTimeout));
}

bool
RelayRun::MayHaveBeenStopped(const AttemptResult& aEnd) const
{
  // A length or chunks prove a complete response, whoever was asked to stop it
  if (aEnd.response.bodyEnd != BodyEnd::Connection) {
    return false;
  }
  return this->move != nullptr ? this->move->MayHaveBeenSent()
                               : this->stopState != StopState::NotStopped;
}

void
RelayRun::AwaitMoveReply(AttemptResult aEnd)
{
  this->heldEnd = std::move(aEnd);
  this->heldEndTimer = this->context.loop.RunAfter(this->context.settings.moveTimeout,
                                                   [this] { this->OnMoveReplyOverdue(); });
}

void
RelayRun::OnMoveReplyOverdue()
{
  this->heldEndTimer.reset();
  MoveResult end;
  end.reason = fmt::format("no reply within {} ms after the stream was closed",
                           this->context.settings.moveTimeout.count());
  if (!this->move->MayHaveBeenSent()) {
    end.stopState = StopState::NotStopped;
  }
  this->AbandonMove();
  this->OnMoveFinished(end);
}

void
RelayRun::AbandonMove()
{
  this->CancelHeldEndTimer();
  if (this->move != nullptr && this->move->MayHaveBeenSent()) {
    this->context.copyReleaser.Adopt(std::move(this->move), this->moveSourceAddress);
  }
  this->move.reset();
}

void
RelayRun::CancelHeldEndTimer()
{
  if (this->heldEndTimer) {
    this->context.loop.CancelTimer(*this->heldEndTimer);
    this->heldEndTimer.reset();
  }
}

void
RelayRun::ReportMove(const MoveResult& aEnd)
{
  const std::string target = this->moveDestination->Target().id;
  MoveReport report{ this->lastMoveSource, target, this->lastMove, aEnd.reason, this->lastEventId };
  report.streamHasEnded = this->heldEnd.has_value();
  report.bodyEnd = this->heldEnd ? this->heldEnd->response.bodyEnd : BodyEnd::None;
  this->context.observer.OnMoved(this->call, report);
}

void
RelayRun::OnMoveFinished(const MoveResult& aEnd)
{
  const std::unique_ptr<RelayMove> finished = std::move(this->move);
  this->CancelHeldEndTimer();
  this->lastMove = KnowledgeOf(aEnd);
  this->stopState = aEnd.stopState;
  this->ReportMove(aEnd);
  if (aEnd.stopState == StopState::Stopped && !aEnd.handle.empty()) {
    this->stoppedState = StoppedState{ this->moveSourceAddress, aEnd.handle, *this->attemptChoice,
                                       this->ReachableUntil(this->sourceLiveAsOf), aEnd.moved };
    const bool hasAllEvents = aEnd.createdEvents && this->forwardedEvents >= *aEnd.createdEvents;
    if (this->attempt == nullptr || hasAllEvents) {
      this->ContinueFromState();
      return;
    }
    // Events that the source sent before it closed the stream may be on their way
    this->awaitsLastEvents = true;
    this->heldEndTimer =
      this->context.loop.RunAfter(this->context.settings.stoppedStreamDrainTime, [this] {
        this->heldEndTimer.reset();
        this->ContinueFromState();
      });
    return;
  }
  this->movePlace.End(PlaceAction::Release);
  if (this->heldEnd) {
    this->HandleAttemptEnd(*std::exchange(this->heldEnd, {}));
  }
}

} // namespace lagoonward
