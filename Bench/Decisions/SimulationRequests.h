#pragma once

// Request handling of the class template Simulation. Included only by Simulation.h.

#include "Bench/Decisions/Simulation.h"

namespace lagoonward::bench {

template<RoutePolicy Policy>
PlacementRequest
Simulation<Policy>::MakePlacementRequest(std::uint32_t aRequest) const
{
  const WorkItem& item = this->items[aRequest];
  PlacementRequest placementRequest;
  placementRequest.request = aRequest;
  placementRequest.item = &item;
  placementRequest.relayedTokens = Policy::kResumes ? this->requests[aRequest].relayed : 0;
  placementRequest.attempt = this->requests[aRequest].attempts;
  const auto& each = this->world.deployment.manifest.classes[item.classIndex];
  const std::chrono::duration<double> age(this->world.Now() - item.at);
  placementRequest.deadline =
    this->world.clock.Now() + each.deadline - std::chrono::duration_cast<TimePoint::duration>(age);
  return placementRequest;
}

template<RoutePolicy Policy>
void
Simulation<Policy>::OnArrival(std::uint32_t aRequest)
{
  const WorkItem& item = this->items[aRequest];
  ClassResult& each = this->result.classes[item.classIndex];
  ++each.offered;
  ++this->result.offered;
  const PlacementRequest placementRequest = this->MakePlacementRequest(aRequest);
  if (!this->policy.Admit(placementRequest) || !this->TryPlace(aRequest, placementRequest, 0)) {
    ++this->result.refusedNotRun;
    this->requests[aRequest].done = true;
    --this->openRequests;
    return;
  }
  this->requests[aRequest].accepted = true;
  ++each.accepted;
  ++this->result.accepted;
  const auto& requestClass = this->world.deployment.manifest.classes[item.classIndex];
  this->world.Schedule(std::chrono::duration<double>(requestClass.deadline).count(),
                       EventKind::Deadline, aRequest);
}

template<RoutePolicy Policy>
bool
Simulation<Policy>::TryPlace(std::uint32_t aRequest, const PlacementRequest& aPlacementRequest,
                             double aTransferSeconds)
{
  const auto placement = this->policy.Place(aPlacementRequest);
  if (!placement) {
    return false;
  }
  RequestState& request = this->requests[aRequest];
  const WorkItem& item = this->items[aRequest];
  const auto attempt = static_cast<std::uint32_t>(this->attempts.size());
  const std::uint32_t host = placement.value().host;
  request.attempt = attempt;
  ++request.attempts;
  AttemptState state;
  state.request = aRequest;
  state.host = host;
  state.produced = aPlacementRequest.relayedTokens;
  if (!this->world.hosts[host].engine) {
    ++request.serviceStarts;
    this->attempts.push_back(state);
    this->world.Schedule(kServiceSeconds, EventKind::ServiceDone, attempt);
    return true;
  }
  EngineJob& job = state.job;
  job.attempt = attempt;
  job.priority = placement.value().priority;
  job.blocks = item.blocks;
  job.promptTokens = item.promptTokens;
  job.resumedTokens = aPlacementRequest.imported ? 0 : aPlacementRequest.relayedTokens;
  job.outputTokens = item.outputTokens - aPlacementRequest.relayedTokens;
  job.imported = aPlacementRequest.imported;
  this->attempts.push_back(state);

  // Tokens that an attempt from scratch generates again
  this->world.computed.recomputedTokens += request.relayed - aPlacementRequest.relayedTokens;
  if (aTransferSeconds > 0) {
    this->world.Schedule(aTransferSeconds, EventKind::MoveEnd, attempt);
    return true;
  }
  if (this->world.hosts[host].terminated) {
    // The connection is refused
    this->FailAttempt(attempt, false);
    return true;
  }
  this->world.hosts[host].engine->Submit(job);
  this->world.StartEngineStep(host);
  return true;
}

template<RoutePolicy Policy>
void
Simulation<Policy>::OnStepEnd(std::uint32_t aHost)
{
  if (this->world.hosts[aHost].terminated) {
    return;
  }
  this->tokens.clear();
  this->world.hosts[aHost].engine->EndStep(this->tokens);
  for (const EngineToken& token : this->tokens) {
    this->OnProduced(token.attempt, token.last);
  }
  this->world.StartEngineStep(aHost);
}

template<RoutePolicy Policy>
void
Simulation<Policy>::OnProduced(std::uint32_t aAttempt, bool aLast)
{
  AttemptState& attempt = this->attempts[aAttempt];
  if (!attempt.live) {
    return;
  }
  ++attempt.produced;
  attempt.finished = aLast;
  if (attempt.stalled) {
    return;
  }
  this->Relay(aAttempt);
  if (aLast) {
    this->Complete(aAttempt);
  }
}

template<RoutePolicy Policy>
void
Simulation<Policy>::Relay(std::uint32_t aAttempt)
{
  const AttemptState& attempt = this->attempts[aAttempt];
  RequestState& request = this->requests[attempt.request];
  const std::size_t classIndex = this->items[attempt.request].classIndex;
  this->policy.OnToken(attempt.request);
  if (attempt.produced <= request.relayed) {
    return; // an attempt from scratch that has not yet passed the tokens relayed before
  }
  const double now = this->world.Now();
  if (request.relayed == 0) {
    request.firstTokenAt = now;
    this->firstTokenDelays[classIndex].push_back(
      static_cast<float>(now - this->items[attempt.request].at));
  } else {
    this->tokenIntervals[classIndex].push_back(static_cast<float>(now - request.lastTokenAt));
  }
  request.lastTokenAt = now;
  request.relayed = attempt.produced;
}

template<RoutePolicy Policy>
void
Simulation<Policy>::Complete(std::uint32_t aAttempt)
{
  AttemptState& attempt = this->attempts[aAttempt];
  attempt.live = false;
  this->policy.OnCompleted(attempt.request, this->MetTargets(attempt.request));
  this->policy.OnEnd(attempt.request, AttemptResult::Completed, true);
  this->CloseRequest(attempt.request, true);
}

template<RoutePolicy Policy>
void
Simulation<Policy>::CloseRequest(std::uint32_t aRequest, bool aCompleted)
{
  RequestState& request = this->requests[aRequest];
  const WorkItem& item = this->items[aRequest];
  request.done = true;
  --this->openRequests;
  this->result.duplicated += !item.repeatable && request.serviceStarts > 1 ? 1 : 0;
  if (!aCompleted) {
    ++this->result.lost;
    return;
  }
  ++this->result.completed;
  this->result.tokensGenerated += item.outputTokens;
  if (this->MetTargets(aRequest)) {
    ++this->result.classes[item.classIndex].met;
    this->result.tokensAtTarget += item.outputTokens;
  }
}

template<RoutePolicy Policy>
bool
Simulation<Policy>::MetTargets(std::uint32_t aRequest) const
{
  const RequestState& request = this->requests[aRequest];
  const WorkItem& item = this->items[aRequest];
  const auto& requestClass = this->world.deployment.manifest.classes[item.classIndex];
  const double first = request.firstTokenAt - item.at;
  const double between =
    request.relayed > 1 ? (request.lastTokenAt - request.firstTokenAt) / (request.relayed - 1) : 0;
  return first <= std::chrono::duration<double>(requestClass.firstToken).count() &&
         between <= std::chrono::duration<double>(requestClass.betweenTokens).count();
}

template<RoutePolicy Policy>
void
Simulation<Policy>::FailAttempt(std::uint32_t aAttempt, bool aAnnounced)
{
  AttemptState& attempt = this->attempts[aAttempt];
  const std::uint32_t request = attempt.request;
  attempt.live = false;
  this->policy.OnEnd(request, AttemptResult::Failed, false);
  const bool isRepeatable = !Policy::kResumes || this->items[request].repeatable;
  const bool resumesWithoutRetry = Policy::kResumes && aAnnounced;
  if (!isRepeatable ||
      (!resumesWithoutRetry && !this->policy.MayRetry(this->MakePlacementRequest(request)))) {
    this->CloseRequest(request, false);
    return;
  }
  const double delay =
    kRetryDelay * static_cast<double>(1U << std::min(this->requests[request].attempts - 1, 4));
  this->world.Schedule(resumesWithoutRetry ? 0 : delay, EventKind::Retry, request);
}

template<RoutePolicy Policy>
void
Simulation<Policy>::OnRetry(std::uint32_t aRequest)
{
  if (this->requests[aRequest].done) {
    return;
  }
  PlacementRequest placementRequest = this->MakePlacementRequest(aRequest);
  placementRequest.failedHost = this->attempts[this->requests[aRequest].attempt].host;
  if (!this->TryPlace(aRequest, placementRequest, 0)) {
    this->world.Schedule(kPlacementRetryDelay, EventKind::Retry, aRequest);
  }
}

template<RoutePolicy Policy>
void
Simulation<Policy>::OnDeadline(std::uint32_t aRequest)
{
  RequestState& request = this->requests[aRequest];
  if (request.done) {
    return;
  }
  AttemptState& attempt = this->attempts[request.attempt];
  if (attempt.live) {
    attempt.live = false;
    if (this->world.hosts[attempt.host].engine) {
      this->world.hosts[attempt.host].engine->Cancel(request.attempt);
    }
    this->policy.OnEnd(aRequest, AttemptResult::Moved, true);
  }
  this->CloseRequest(aRequest, false);
}

template<RoutePolicy Policy>
RunResult
Simulation<Policy>::CollectResult()
{
  constexpr double kMillis = 1000;
  const auto p95 = [](std::vector<float>& aValues) {
    if (aValues.empty()) {
      return 0.0;
    }
    const auto index = static_cast<std::ptrdiff_t>(aValues.size() * 95 / 100);
    std::nth_element(aValues.begin(), aValues.begin() + index, aValues.end());
    return static_cast<double>(aValues[static_cast<std::size_t>(index)]);
  };
  for (std::size_t index = 0; index < this->result.classes.size(); ++index) {
    ClassResult& each = this->result.classes[index];
    each.firstTokenP95Ms = p95(this->firstTokenDelays[index]) * kMillis;
    each.betweenTokensP95Ms = p95(this->tokenIntervals[index]) * kMillis;
  }
  this->result.tokensRecomputed = this->world.computed.recomputedTokens;
  this->result.cost = this->world.cost;
  return this->result;
}

} // namespace lagoonward::bench
