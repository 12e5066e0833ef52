#include "Lagoonward/Relay/RelayRun.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

// The part of a run that moves its stream off an endpoint that leaves.

namespace lagoonward {

bool
RelayRun::IsWorthMoving() const
{
  // A prompt is read again for less than its memory costs to copy, so what can be resumed is
  if (this->call.route->resumable) {
    return false;
  }
  const double expected = std::max(this->call.outputTokens, 1);
  const double done = static_cast<double>(this->events) * this->call.eventTokens / expected;
  return this->streaming && done < this->context.settings.finishPart;
}

void
RelayRun::OnFleet(const FleetSnapshot& aFleet)
{
  if (this->ended || this->attempt == nullptr || this->move != nullptr) {
    return;
  }
  const Endpoint* endpoint = aFleet.Find(this->endpointId);
  if (endpoint != nullptr && endpoint->born > this->endpointBorn) {
    this->OnEndpointRestarted();
    return;
  }
  if (this->movedFrom == this->endpointId || !this->IsWorthMoving()) {
    return;
  }
  if (endpoint != nullptr && endpoint->movesStreams && endpoint->state == EndpointState::Leaving) {
    this->BeginMove(*endpoint);
  }
}

void
RelayRun::BeginMove(const Endpoint& aSource)
{
  // One that names a limit would have to permit it first
  const std::vector<std::string> limited = this->context.limits.Limited();
  std::vector<std::string_view> avoided(limited.begin(), limited.end());
  avoided.push_back(this->endpointId);
  RouteRequest request = this->MakeRouteRequest();
  request.excludedEndpoints = avoided;
  auto choice = this->context.router.Choose(request);
  const FleetSnapshotPtr fleet = this->context.fleet.Get();
  const Endpoint* target = choice ? fleet->Find(choice.value().Target().id) : nullptr;
  if (target == nullptr) {
    return;
  }
  this->movedFrom = this->endpointId;
  this->moveChoice = std::move(choice.value());
  this->move = std::make_unique<RelayMove>(this->context.loop, this->context.language,
                                           [this](const MoveEnd& aEnd) { this->OnMoveEnd(aEnd); });
  this->move->Start(this->call, fmt::format("{}:{}", aSource.address, aSource.port),
                    fmt::format("{}:{}", target->address, target->port),
                    this->context.settings.moveTimeout);
}

void
RelayRun::OnMoveEnd(const MoveEnd& aEnd)
{
  const std::unique_ptr<RelayMove> finished = std::move(this->move);
  const std::string target = this->moveChoice->Target().id;
  this->context.observer.OnMoved(this->call, this->movedFrom, target, aEnd.moved, aEnd.reason);
  if (!aEnd.moved) {
    // It runs on at the source, or has stopped there and is judged like any that broke off
    if (this->endedWhileMoved) {
      this->OnAttemptFailed(*std::exchange(this->endedWhileMoved, {}));
    }
    return;
  }
  this->endedWhileMoved.reset();
  if (this->attempt != nullptr) {
    this->DropAttempt(DispatchOutcome::Cancelled);
  } else {
    this->context.router.OnFinished(this->dispatch, DispatchOutcome::Cancelled);
  }
  const FleetSnapshotPtr fleet = this->context.fleet.Get();
  const Endpoint* source = fleet->Find(this->movedFrom);
  if (source == nullptr) {
    this->Dispatch();
    return;
  }
  // The same run goes on, so this is no further attempt
  --this->sends;
  this->copy = fmt::format("{}:{}/{}", source->address, source->port, aEnd.handle);
  const RouteChoice choice = std::move(*std::exchange(this->moveChoice, {}));
  this->BeginAttempt(choice, this->MakeRouteRequest());
}

} // namespace lagoonward
