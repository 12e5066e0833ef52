#include "Lagoonward/Routing/Router.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>

// Members of Router that update its state: results of dispatches, contents of prefix caches, speeds, and requests of
// the other daemons in flight.

namespace lagoonward {

namespace {

/// Maximum pending prefill tokens at an endpoint for which a request's time to first token shows the prefill speed.
constexpr double kIdlePrefillTokens = 64;

/// Stream events per observation. With several, the mean time per token stays correct if two events arrive together.
constexpr int kEventsPerSample = 4;

/// Minimum interval of speed model refreshes. The speed changes slowly, and each refresh takes some microseconds.
constexpr Milliseconds kSpeedRefreshInterval{ 250 };

} // namespace

Dispatch
Router::OnDispatched(const RouteChoice& aChoice, const RouteRequest& aRequest)
{
  const std::lock_guard lock(this->mutex);
  const RoutingTarget& target = aChoice.Target();
  Dispatch dispatch;
  dispatch.endpointKey = target.key;
  dispatch.uncachedTokens = std::max(aRequest.promptTokens - aChoice.cachedTokens, 0);
  // The time of a fetch says nothing about the prefill speed
  dispatch.freshTokens = aChoice.fetchFrom ? 0 : aRequest.freshTokens;
  dispatch.isPlainCall = aRequest.isPlainCall;
  dispatch.priority = aChoice.priority;
  dispatch.dispatchedAt = this->clock.Now();
  dispatch.speedIndex = this->speed.IndexOf(aChoice.table->MachineClasses()[target.machineClass]);
  EndpointActivity* activity = this->FindActivity(target.key);
  if (activity != nullptr) {
    const auto index = static_cast<std::uint32_t>(activity - this->activities.data());
    dispatch.sequences = this->EstimatedSequences(index, this->PeerFactor(target)) + 1;
    dispatch.endpointWasIdle = activity->PrefillPending(0) <= kIdlePrefillTokens &&
                               this->table->Targets()[index].waiting == 0;
    dispatch.ownInFlight = activity->InFlight();
    dispatch.peersInFlight = activity->PeersInFlight();
    activity->breaker.OnDispatched(this->settings.breaker, dispatch.dispatchedAt);
    activity->OnDispatched(dispatch.dispatchedAt, dispatch.uncachedTokens, dispatch.priority);
    ++this->ownInFlight;
    this->totalActivity.OnDispatched(dispatch.dispatchedAt, 0, dispatch.priority);
  }
  this->prefixes.OnDispatched(target.key, aRequest.prefixBlocks);
  return dispatch;
}

void
Router::OnToken(Dispatch& aDispatch)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  EndpointActivity* activity = this->FindActivity(aDispatch.endpointKey);
  if (!aDispatch.hasFirstToken) {
    aDispatch.hasFirstToken = true;
    if (activity != nullptr) {
      activity->OnFirstToken(aDispatch.uncachedTokens, aDispatch.priority);
    }
    if (aDispatch.endpointWasIdle) {
      const double seconds =
        ToSeconds(now - aDispatch.dispatchedAt) - this->settings.networkSeconds;
      this->speed.ObservePrefill(aDispatch.speedIndex, aDispatch.uncachedTokens,
                                 aDispatch.sequences - 1, seconds);
    }
  } else if (activity != nullptr) {
    const auto index = static_cast<std::uint32_t>(activity - this->activities.data());
    const double running = std::min<double>(this->EstimatedSequences(index, 1),
                                            this->speed.Get(aDispatch.speedIndex).sequences);
    this->speed.ObserveStep(aDispatch.speedIndex, running, ToSeconds(now - aDispatch.lastToken));
  }
  aDispatch.lastToken = now;
}

void
Router::OnEvent(Dispatch& aDispatch, int aTokens)
{
  const TimePoint now = this->clock.Now();
  aDispatch.sampleTokens += aTokens;
  const bool isFirst = aDispatch.events++ == 0;
  if (!isFirst && aDispatch.events % kEventsPerSample != 1) {
    return;
  }
  const std::lock_guard lock(this->mutex);
  if (isFirst) {
    const double seconds = ToSeconds(now - aDispatch.dispatchedAt) - this->settings.networkSeconds;
    this->speed.ObserveFreshPrompt(aDispatch.speedIndex, now, aDispatch.freshTokens, seconds);
  } else if (const EndpointActivity* activity = this->FindActivity(aDispatch.endpointKey)) {
    const auto index = static_cast<std::uint32_t>(activity - this->activities.data());
    this->speed.ObserveTokens(
      aDispatch.speedIndex, now,
      this->EstimatedSequences(index, this->PeerFactor(this->table->Targets()[index])),
      ToSeconds(now - aDispatch.sampleStart) / aDispatch.sampleTokens);
  }
  aDispatch.sampleStart = now;
  aDispatch.sampleTokens = 0;
  this->RefreshSpeed(now);
}

void
Router::RefreshSpeed(TimePoint aNow)
{
  if (aNow >= this->speedRefreshedAt + kSpeedRefreshInterval) {
    this->speedRefreshedAt = aNow;
    this->speed.Refresh(aNow);
  }
}

void
Router::OnFinished(Dispatch& aDispatch, DispatchOutcome aOutcome)
{
  const std::lock_guard lock(this->mutex);
  if (aDispatch.finished) {
    return;
  }
  aDispatch.finished = true;
  EndpointActivity* activity = this->FindActivity(aDispatch.endpointKey);
  if (activity == nullptr) {
    return;
  }
  const TimePoint now = this->clock.Now();
  if (!aDispatch.hasFirstToken) {
    activity->OnFirstToken(aDispatch.uncachedTokens, aDispatch.priority);
  }
  if (aDispatch.isPlainCall && aOutcome != DispatchOutcome::Cancelled) {
    const double seconds = ToSeconds(now - aDispatch.dispatchedAt);
    const bool hasSucceeded = aOutcome == DispatchOutcome::Completed;
    activity->OnCallEnded(seconds, hasSucceeded);
    this->totalActivity.OnCallEnded(seconds, hasSucceeded);
  }
  activity->OnFinished(now);
  this->ownInFlight = std::max(this->ownInFlight - 1, 0);
  if (aOutcome == DispatchOutcome::Completed) {
    activity->breaker.OnSuccess();
  } else if (aOutcome == DispatchOutcome::Failed) {
    activity->breaker.OnFailure(this->settings.breaker, now);
  }
}

void
Router::ResetCircuitBreakers()
{
  const std::lock_guard lock(this->mutex);
  for (EndpointActivity& activity : this->activities) {
    activity.breaker.OnSuccess();
  }
}

void
Router::OnCacheEvents(std::string_view aEndpointId, std::span<const std::uint64_t> aStored,
                      std::span<const std::uint64_t> aEvicted, bool aGap)
{
  const std::lock_guard lock(this->mutex);
  const std::uint64_t key = this->KeyOf(aEndpointId);
  if (aGap) {
    this->prefixes.OnGap(key);
  }
  this->prefixes.OnStored(key, aStored);
  this->prefixes.OnEvicted(key, aEvicted);
}

double
Router::Pressure(const RouteRequest& aRequest) const
{
  const std::lock_guard lock(this->mutex);
  if (!this->table) {
    return 0;
  }
  const auto group = this->table->FindGroup(aRequest);
  if (!group) {
    return 0;
  }
  double occupied = 0;
  double concurrency = 0;
  for (const std::uint32_t target : group.value()->targets) {
    const RoutingTarget& each = this->table->Targets()[target];
    const auto& excluded = aRequest.excludedEndpoints;
    if (std::find(excluded.begin(), excluded.end(), each.id) != excluded.end()) {
      continue;
    }
    occupied += this->EstimatedSequences(target, this->PeerFactor(each));
    // A concurrency reported by the endpoint takes precedence over the assumption for its class
    concurrency += each.sequences > 0
                     ? each.sequences
                     : this->speed.Get(this->speedIndices[each.machineClass]).sequences;
  }
  return concurrency > 0 ? occupied / concurrency : 0;
}

std::vector<EndpointInFlightCount>
Router::OwnInFlight() const
{
  const std::lock_guard lock(this->mutex);
  std::vector<EndpointInFlightCount> counts;
  for (const EndpointActivity& activity : this->activities) {
    if (activity.InFlight() > 0) {
      counts.push_back({ activity.Key(), activity.InFlight() });
    }
  }
  return counts;
}

void
Router::OnPeersInFlight(std::span<const EndpointInFlightCount> aCounts)
{
  const std::lock_guard lock(this->mutex);
  for (EndpointActivity& activity : this->activities) {
    activity.OnPeersInFlight(0);
  }
  for (const EndpointInFlightCount& count : aCounts) {
    if (EndpointActivity* activity = this->FindActivity(count.endpointKey)) {
      activity->OnPeersInFlight(count.count);
    }
  }
  this->peersInFlightAt = this->clock.Now();
}

std::optional<double>
Router::EndpointSeconds(std::string_view aService, const EngineWork& aWork)
{
  const std::lock_guard lock(this->mutex);
  this->RefreshSpeed(this->clock.Now());
  const std::size_t index = this->speed.IndexOf(aService);
  const MachineSpeed& known = this->speed.Get(index);
  const bool isEngine = aWork.promptTokens > 0 || aWork.outputTokens > 0;
  if (isEngine && !this->speed.IsLearned(index)) {
    return std::nullopt;
  }
  double concurrency = known.sequences;
  if (this->table) {
    for (const RoutingTarget& target : this->table->Targets()) {
      if (this->table->MachineClasses()[target.machineClass] == aService && target.sequences > 0) {
        concurrency = target.sequences;
      }
    }
  }
  // The base time of a step is shared by all sequences that run concurrently
  concurrency = std::max(concurrency, 1.0);
  const double call = std::max(this->totalActivity.ExpectedCallSeconds(), 0.0);
  return aWork.promptTokens * known.prefillSecondsPerToken +
         aWork.outputTokens * (known.stepPerSequenceSeconds + known.stepBaseSeconds / concurrency) +
         aWork.calls * call / concurrency;
}

std::vector<SpeedReport>
Router::LearnedSpeeds() const
{
  const std::lock_guard lock(this->mutex);
  return this->speed.Learned();
}

std::vector<SpeedReport>
Router::SpeedsInUse() const
{
  const std::lock_guard lock(this->mutex);
  return this->speed.InUse();
}

void
Router::OnPeerSpeeds(std::uint64_t aSource, std::span<const SpeedReport> aReports)
{
  const std::lock_guard lock(this->mutex);
  for (const SpeedReport& report : aReports) {
    this->speed.OnPeerReport(aSource, report, this->clock.Now());
  }
}

} // namespace lagoonward
