#pragma once

// Event handling of the class template Simulation. Included only by Simulation.h.

#include "Bench/Decisions/Simulation.h"

namespace lagoonward::bench {

template<RoutePolicy Policy>
void
Simulation<Policy>::ScheduleAll()
{
  for (std::uint32_t index = 0; index < this->items.size(); ++index) {
    this->world.Schedule(this->items[index].at, EventKind::Arrival, index);
  }
  const Scenario& scenario = this->world.scenario;
  for (std::uint32_t index = 0; index < scenario.reclaims.size(); ++index) {
    const ReclaimEvent& reclaim = scenario.reclaims[index];
    this->world.Schedule(reclaim.at, EventKind::ReclaimNotice, index);
    this->world.Schedule(reclaim.at + Policy::kNoticeDelay, EventKind::NoticeVisible, index);
    this->world.Schedule(reclaim.at + reclaim.replacementDelay, EventKind::Replacement, index);
  }
  for (std::uint32_t index = 0; index < scenario.prices.size(); ++index) {
    this->world.Schedule(scenario.prices[index].at, EventKind::PriceChange, index);
  }
  for (const double at : scenario.connectionStalls) {
    this->world.Schedule(at, EventKind::ConnectionStall);
  }
  this->world.TakeSample();
  this->policy.OnView(this->world.MakeView());
  this->world.Schedule(kSampleInterval, EventKind::Sample);
  this->world.Schedule(kHeartbeatInterval, EventKind::Heartbeat);
}

template<RoutePolicy Policy>
void
Simulation<Policy>::Handle(const Event& aEvent)
{
  switch (aEvent.kind) {
    case EventKind::Arrival:
      return this->OnArrival(aEvent.subject);
    case EventKind::StepEnd:
      return this->OnStepEnd(aEvent.subject);
    case EventKind::ServiceDone:
      return this->OnProduced(aEvent.subject, true);
    case EventKind::Retry:
      return this->OnRetry(aEvent.subject);
    case EventKind::MoveStart:
      return this->OnMoveStart(aEvent.subject, aEvent.extra);
    case EventKind::MoveEnd:
      return this->OnMoveEnd(aEvent.subject);
    case EventKind::ConnectionStall:
      return this->OnConnectionStall();
    case EventKind::StallTimeout:
      return this->OnStallTimeout(aEvent.subject);
    case EventKind::Deadline:
      return this->OnDeadline(aEvent.subject);
    case EventKind::HostTerminated:
      return this->OnHostTerminated(aEvent.subject);
    case EventKind::Replan:
      return this->PlanMoves(aEvent.subject);
    default:
      return this->HandleFleet(aEvent);
  }
}

template<RoutePolicy Policy>
void
Simulation<Policy>::HandleFleet(const Event& aEvent)
{
  const Scenario& scenario = this->world.scenario;
  switch (aEvent.kind) {
    case EventKind::Sample:
      this->world.TakeSample();
      this->world.CollectCacheUpdates();
      this->policy.OnView(this->world.MakeView());
      this->world.Schedule(kSampleInterval, EventKind::Sample);
      break;
    case EventKind::Heartbeat:
      this->policy.OnHeartbeat();
      this->world.Schedule(kHeartbeatInterval, EventKind::Heartbeat);
      break;
    case EventKind::CacheUpdate: {
      const CacheUpdate& update = this->world.cacheUpdates[aEvent.subject];
      const std::string& id = this->world.hosts[update.host].id;
      this->policy.OnCacheEvents(id, update.stored, update.evicted, update.gap);
      this->world.cacheUpdates[aEvent.subject] = {};
      break;
    }
    case EventKind::ReclaimNotice:
      this->world.GiveNotice(scenario.reclaims[aEvent.subject]);
      break;
    case EventKind::NoticeVisible:
      for (std::uint32_t host = 0; host < this->world.hosts.size(); ++host) {
        HostState& state = this->world.hosts[host];
        if (state.reclaimNoticed && !state.leaving) {
          state.leaving = true;
          this->world.Schedule(0, EventKind::Replan, host);
        }
      }
      this->policy.OnView(this->world.MakeView());
      break;
    case EventKind::HostDelisted:
      this->world.hosts[aEvent.subject].delisted = true;
      break;
    case EventKind::Replacement:
      this->world.AddReplacements(scenario.reclaims[aEvent.subject]);
      break;
    case EventKind::PriceChange:
      this->world.ChangePrice(scenario.prices[aEvent.subject]);
      break;
    default:
      break;
  }
}

template<RoutePolicy Policy>
void
Simulation<Policy>::OnHostTerminated(std::uint32_t aHost)
{
  this->world.hosts[aHost].terminated = true;
  for (std::uint32_t attempt = 0; attempt < this->attempts.size(); ++attempt) {
    if (this->attempts[attempt].live && this->attempts[attempt].host == aHost) {
      this->FailAttempt(attempt, true);
    }
  }
}

template<RoutePolicy Policy>
void
Simulation<Policy>::PlanMoves(std::uint32_t aHost)
{
  const HostState& host = this->world.hosts[aHost];
  if (!Policy::kResumes || host.terminated) {
    return;
  }
  this->planNumberOfHost.resize(this->world.hosts.size());
  const std::uint32_t number = ++this->planNumberOfHost[aHost];
  std::vector<std::uint32_t> streams;
  for (std::uint32_t attempt = 0; attempt < this->attempts.size(); ++attempt) {
    if (this->attempts[attempt].live && this->attempts[attempt].host == aHost) {
      streams.push_back(attempt);
    }
  }

  // Streams with the fewest tokens left come first: the last slots before the termination go to those that may still
  // finish
  const auto tokensLeft = [&](std::uint32_t aAttempt) {
    const std::uint32_t request = this->attempts[aAttempt].request;
    const int left = this->items[request].expectedOutput - this->requests[request].relayed;
    return std::max(left, this->items[request].expectedOutput / 8);
  };
  std::stable_sort(streams.begin(), streams.end(), [&](std::uint32_t aLeft, std::uint32_t aRight) {
    return tokensLeft(aLeft) < tokensLeft(aRight);
  });
  MoveState state;
  state.secondsLeft = host.terminatesAt - this->world.Now();
  state.canTransfer = true;
  for (const std::uint32_t attempt : streams) {
    const std::uint32_t request = this->attempts[attempt].request;
    const RequestState& running = this->requests[request];
    state.tokensLeft = tokensLeft(attempt);
    state.stepSeconds = running.relayed > 1
                          ? (running.lastTokenAt - running.firstTokenAt) / (running.relayed - 1)
                          : kDefaultStepSeconds;
    state.contextTokens = this->items[request].promptTokens + running.relayed;
    StreamMovePlan plan = PlanMove(state, this->moves);
    if (plan.kind == StreamMoveKind::FinishInPlace) {
      continue;
    }

    // A stream without tokens has no KV cache to transfer
    const bool transfer = plan.kind == StreamMoveKind::Transfer && running.relayed > 0;
    state.laterTransferTokens += transfer ? state.contextTokens : 0;
    const double start = running.relayed > 0 ? plan.startInSeconds : 0;
    this->world.Schedule(start, EventKind::MoveStart, attempt, number * 2 + (transfer ? 1 : 0));
  }
  this->world.Schedule(kReplanInterval, EventKind::Replan, aHost);
}

template<RoutePolicy Policy>
void
Simulation<Policy>::OnMoveStart(std::uint32_t aAttempt, std::uint32_t aExtra)
{
  AttemptState& moving = this->attempts[aAttempt];
  const std::uint32_t host = moving.host;
  if (!moving.live || this->planNumberOfHost[host] != aExtra / 2) {
    return;
  }
  const std::uint32_t request = moving.request;
  const bool transfer = aExtra % 2 == 1;
  moving.live = false;
  if (this->world.hosts[host].engine) {
    this->world.hosts[host].engine->Cancel(aAttempt);
  }
  this->policy.OnEnd(request, AttemptResult::Moved, false);
  PlacementRequest placementRequest = this->MakePlacementRequest(request);
  placementRequest.failedHost = host;
  placementRequest.imported = transfer;
  const double context = this->items[request].promptTokens + this->requests[request].relayed;
  const double seconds =
    this->moves.transferSetupSeconds + context / this->moves.transferTokensPerSecond;
  if (!this->TryPlace(request, placementRequest, transfer ? seconds : 0)) {
    this->world.Schedule(kPlacementRetryDelay, EventKind::Retry, request);
  }
}

template<RoutePolicy Policy>
void
Simulation<Policy>::OnMoveEnd(std::uint32_t aAttempt)
{
  AttemptState& attempt = this->attempts[aAttempt];
  if (attempt.live) {
    this->world.hosts[attempt.host].engine->Submit(attempt.job);
    this->world.StartEngineStep(attempt.host);
  }
}

template<RoutePolicy Policy>
void
Simulation<Policy>::OnConnectionStall()
{
  // The open connections of the busiest engine and the busiest service stall; both hosts keep processing
  std::vector<std::uint32_t> engines;
  std::vector<std::uint32_t> services;
  for (std::uint32_t host = 0; host < this->world.hosts.size(); ++host) {
    if (!this->world.hosts[host].terminated) {
      (this->world.hosts[host].engine ? engines : services).push_back(host);
    }
  }
  std::vector<int> load(this->world.hosts.size());
  for (const AttemptState& attempt : this->attempts) {
    load[attempt.host] += attempt.live ? 1 : 0;
  }
  const auto hasLessLoad = [&](std::uint32_t aLeft, std::uint32_t aRight) {
    return load[aLeft] < load[aRight];
  };
  const std::uint32_t engine = *std::max_element(engines.begin(), engines.end(), hasLessLoad);
  const std::uint32_t service = *std::max_element(services.begin(), services.end(), hasLessLoad);
  for (std::uint32_t attempt = 0; attempt < this->attempts.size(); ++attempt) {
    AttemptState& state = this->attempts[attempt];
    if (state.live && (state.host == engine || state.host == service)) {
      state.stalled = true;
      this->world.Schedule(Policy::kStallTimeout, EventKind::StallTimeout, attempt);
    }
  }
}

template<RoutePolicy Policy>
void
Simulation<Policy>::OnStallTimeout(std::uint32_t aAttempt)
{
  AttemptState& attempt = this->attempts[aAttempt];
  if (!attempt.live) {
    return;
  }
  if (!Policy::kResumes || !this->world.hosts[attempt.host].engine) {
    this->FailAttempt(aAttempt, false);
    return;
  }

  // Reconnecting succeeds, and the engine has retained the stream
  attempt.stalled = false;
  if (attempt.produced > this->requests[attempt.request].relayed) {
    this->Relay(aAttempt);
  }
  if (attempt.finished) {
    this->Complete(aAttempt);
  }
}

} // namespace lagoonward::bench

#include "Bench/Decisions/SimulationRequests.h"
