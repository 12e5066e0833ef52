#include "Lagoonward/Queueing/SlotTable.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Weight of the newest request in the averaged pace of all endpoints.
constexpr double kMeanPaceWeight = 0.05;

/// An endpoint that fails nearly always is expected to take this many times as long, not infinitely long.
constexpr double kMaximumFailurePenalty = 10;

} // namespace

SlotTable::SlotTable(const SlotTableSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
SlotTable::SetEndpoints(std::span<const PoolEndpoint> aEndpoints)
{
  std::vector<State> next;
  next.reserve(aEndpoints.size());
  for (const PoolEndpoint& endpoint : aEndpoints) {
    const auto known =
      std::find_if(this->endpoints.begin(), this->endpoints.end(),
                   [&](const State& aEach) { return aEach.endpoint.key == endpoint.key; });
    State state = known != this->endpoints.end() ? std::move(*known)
                                                 : State{ {}, EndpointPace(this->settings), {} };
    const bool isChanged = state.endpoint.slots != endpoint.slots || state.allowed == 0;
    state.endpoint = endpoint;
    state.endpoint.slots = std::max(endpoint.slots, 1);
    if (isChanged) {
      state.allowed = state.endpoint.slots;
      state.rejectedAt.reset();
    }
    next.push_back(std::move(state));
  }
  this->endpoints = std::move(next);
  std::erase_if(this->endpointByLease,
                [&](const auto& aEach) { return this->Find(aEach.second) == nullptr; });
}

const SlotTable::State*
SlotTable::Find(std::uint64_t aEndpoint) const
{
  const auto found =
    std::find_if(this->endpoints.begin(), this->endpoints.end(),
                 [&](const State& aEach) { return aEach.endpoint.key == aEndpoint; });
  return found == this->endpoints.end() ? nullptr : &*found;
}

SlotTable::State*
SlotTable::Find(std::uint64_t aEndpoint)
{
  const auto found =
    std::find_if(this->endpoints.begin(), this->endpoints.end(),
                 [&](const State& aEach) { return aEach.endpoint.key == aEndpoint; });
  return found == this->endpoints.end() ? nullptr : &*found;
}

bool
SlotTable::HasRoom(const State& aState, std::uint32_t aMemoryTokens) const
{
  if (static_cast<int>(aState.leases.size()) >= this->AllowedSlots(aState)) {
    return false;
  }
  const std::uint64_t memory = aState.endpoint.memoryTokens;
  return memory == 0 || aState.takenMemory == 0 || aState.takenMemory + aMemoryTokens <= memory;
}

int
SlotTable::AllowedSlots(const State& aState) const
{
  if (!aState.rejectedAt) {
    return aState.endpoint.slots;
  }
  const auto recovered = (this->clock.Now() - *aState.rejectedAt) / this->settings.recoveryInterval;
  return static_cast<int>(
    std::min<std::int64_t>(aState.allowed + recovered, aState.endpoint.slots));
}

bool
SlotTable::IsFailing(const State& aState) const
{
  return aState.pace.ConsecutiveFailures() >= this->settings.failuresToPause;
}

double
SlotTable::PaceOf(const State& aState) const
{
  if (aState.pace.SecondsPerWork() > 0) {
    return aState.pace.SecondsPerWork();
  }
  return this->meanPace > 0 ? this->meanPace : this->settings.assumedSeconds;
}

double
SlotTable::Slowdown(const State& aState, TimePoint aNow) const
{
  // Without a completed request, nothing says how long one usually takes
  if (this->meanPace <= 0) {
    return 1;
  }
  const double pace = this->PaceOf(aState);
  double sum = 0;
  int running = 0;
  for (const Lease& lease : aState.leases) {
    if (!lease.isAbandoned) {
      sum += ToSeconds(aNow - lease.begunAt) / (lease.work * pace);
      ++running;
    }
  }
  const double mean = running > 0 ? sum / running : 0;
  return mean > this->settings.overdueFactor ? mean : 1;
}

double
SlotTable::ExpectedSecondsAt(const State& aState, double aWork, TimePoint aNow) const
{
  const double occupancy =
    static_cast<double>(aState.leases.size()) / static_cast<double>(aState.endpoint.slots);
  const double success = 1 - aState.pace.FailureRatio();
  const double failurePenalty = 1 / std::max(success, 1 / kMaximumFailurePenalty);
  return aWork * this->PaceOf(aState) * this->Slowdown(aState, aNow) * failurePenalty *
         (1 + this->settings.occupancyPenalty * occupancy);
}

double
SlotTable::ExpectedSeconds(std::uint64_t aEndpoint, double aWork) const
{
  const State* state = this->Find(aEndpoint);
  return state == nullptr ? 0 : this->ExpectedSecondsAt(*state, aWork, this->clock.Now());
}

double
SlotTable::FastestSeconds(double aWork) const
{
  const TimePoint now = this->clock.Now();
  double fastest = 0;
  for (const State& state : this->endpoints) {
    if (state.endpoint.acceptsRequests && !this->IsFailing(state)) {
      const double seconds = aWork * this->PaceOf(state) * this->Slowdown(state, now);
      fastest = fastest > 0 ? std::min(fastest, seconds) : seconds;
    }
  }
  return fastest;
}

std::optional<std::uint64_t>
SlotTable::Select(double aWork, std::uint32_t aMemoryTokens,
                  std::span<const std::uint64_t> aExcluded) const
{
  const TimePoint now = this->clock.Now();
  const State* best = nullptr;
  double bestSeconds = 0;
  for (const State& state : this->endpoints) {
    const bool isExcluded =
      std::find(aExcluded.begin(), aExcluded.end(), state.endpoint.key) != aExcluded.end();
    const bool awaitsTrial =
      this->IsFailing(state) && state.trialAt && now < *state.trialAt + this->settings.failurePause;
    if (!state.endpoint.acceptsRequests || isExcluded || awaitsTrial ||
        !this->HasRoom(state, aMemoryTokens)) {
      continue;
    }
    const double seconds = this->ExpectedSecondsAt(state, aWork, now);
    if (best == nullptr || seconds < bestSeconds) {
      best = &state;
      bestSeconds = seconds;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->endpoint.key);
}

void
SlotTable::Take(std::uint64_t aEndpoint, const SlotMessage& aMessage)
{
  State* state = this->Find(aEndpoint);
  if (state == nullptr) {
    return;
  }
  // A request is at one endpoint; the one that its daemon named last counts
  if (const auto before = this->EndpointOf(aMessage.lease); before && *before != aEndpoint) {
    this->Release(aMessage.lease);
  }
  const TimePoint now = this->clock.Now();
  const auto duration = std::min(Milliseconds(aMessage.leaseMs), this->settings.maximumLease);
  const auto known = std::find_if(state->leases.begin(), state->leases.end(),
                                  [&](const Lease& aEach) { return aEach.id == aMessage.lease; });
  if (known != state->leases.end()) {
    known->expiresAt = now + duration;
    return;
  }
  // Another owner has granted a slot elsewhere, and its reply was first
  this->Release(aMessage.lease);
  if (state->leases.size() >= this->settings.maximumLeasesPerEndpoint) {
    return;
  }
  Lease lease;
  lease.id = aMessage.lease;
  lease.run = aMessage.run;
  lease.work = std::max<double>(aMessage.work, 1e-6);
  lease.memoryTokens = aMessage.memoryTokens;
  lease.isDeclared = aMessage.action == SlotAction::Declare;
  lease.begunAt = now;
  lease.expiresAt = now + duration;
  state->leases.push_back(lease);
  state->takenMemory += aMessage.memoryTokens;
  state->trialAt = now;
  this->endpointByLease[aMessage.lease] = aEndpoint;
}

void
SlotTable::Erase(State& aState, std::size_t aIndex)
{
  const Lease& lease = aState.leases[aIndex];
  aState.takenMemory -= lease.memoryTokens;
  this->endpointByLease.erase(lease.id);
  aState.leases.erase(aState.leases.begin() + static_cast<std::ptrdiff_t>(aIndex));
}

void
SlotTable::End(std::uint64_t aLease, SlotAction aAction, Milliseconds aHeld)
{
  const auto endpoint = this->endpointByLease.find(aLease);
  if (endpoint == this->endpointByLease.end()) {
    return;
  }
  State& state = *this->Find(endpoint->second);
  const auto lease = std::find_if(state.leases.begin(), state.leases.end(),
                                  [&](const Lease& aEach) { return aEach.id == aLease; });
  // The message is sent again if its response was lost
  if (lease->isAbandoned) {
    return;
  }
  const auto index = static_cast<std::size_t>(lease - state.leases.begin());
  const TimePoint now = this->clock.Now();
  if (aAction == SlotAction::Lose || aAction == SlotAction::Fail) {
    state.pace.OnFailed();
  }
  if (aAction == SlotAction::Lose || aAction == SlotAction::Abandon) {
    lease->isAbandoned = true;
    lease->expiresAt = std::min(lease->expiresAt, now + this->settings.abandonedTime);
    return;
  }
  if (aAction == SlotAction::Complete) {
    this->LearnPace(state, *lease, aHeld);
  }
  this->Erase(state, index);
  if (aAction == SlotAction::Reject) {
    const int taken = static_cast<int>(state.leases.size());
    state.allowed = std::clamp(taken, 1, this->AllowedSlots(state));
    state.rejectedAt = now;
  }
}

void
SlotTable::LearnPace(State& aState, const Lease& aLease, Milliseconds aHeld)
{
  const bool isMeasured = aHeld > Milliseconds(0);
  if (aLease.isDeclared && !isMeasured) {
    aState.pace.OnSucceeded();
    return;
  }
  // The message about the end may have been read late here, so the time that the sender measured counts
  const double seconds =
    isMeasured ? ToSeconds(aHeld) : ToSeconds(this->clock.Now() - aLease.begunAt);
  const double pace = seconds / aLease.work;
  aState.pace.OnCompleted(seconds, aLease.work);
  this->meanPace =
    this->meanPace > 0 ? this->meanPace + kMeanPaceWeight * (pace - this->meanPace) : pace;
}

void
SlotTable::Release(std::uint64_t aLease)
{
  const auto endpoint = this->endpointByLease.find(aLease);
  if (endpoint == this->endpointByLease.end()) {
    return;
  }
  State& state = *this->Find(endpoint->second);
  for (std::size_t index = 0; index < state.leases.size(); ++index) {
    if (state.leases[index].id == aLease) {
      this->Erase(state, index);
      return;
    }
  }
}

std::optional<std::uint64_t>
SlotTable::EndpointOf(std::uint64_t aLease) const
{
  const auto found = this->endpointByLease.find(aLease);
  return found == this->endpointByLease.end() ? std::nullopt : std::optional(found->second);
}

void
SlotTable::Expire()
{
  const TimePoint now = this->clock.Now();
  for (State& state : this->endpoints) {
    for (std::size_t index = state.leases.size(); index-- > 0;) {
      if (state.leases[index].expiresAt <= now) {
        this->Erase(state, index);
      }
    }
  }
}

void
SlotTable::OnStandstill()
{
  for (State& state : this->endpoints) {
    for (Lease& lease : state.leases) {
      lease.begunAt = this->clock.Now();
      lease.isDeclared = true;
    }
  }
}

void
SlotTable::OnRunEnded(std::uint64_t aRun)
{
  for (State& state : this->endpoints) {
    for (std::size_t index = state.leases.size(); index-- > 0;) {
      if (state.leases[index].run == aRun) {
        this->Erase(state, index);
      }
    }
  }
}

double
SlotTable::WorkPerSecond() const
{
  const TimePoint now = this->clock.Now();
  double rate = 0;
  for (const State& state : this->endpoints) {
    if (state.endpoint.acceptsRequests && !this->IsFailing(state)) {
      rate += this->AllowedSlots(state) / (this->PaceOf(state) * this->Slowdown(state, now));
    }
  }
  return rate;
}

int
SlotTable::Taken() const
{
  return static_cast<int>(this->endpointByLease.size());
}

int
SlotTable::Taken(std::uint64_t aEndpoint) const
{
  const State* state = this->Find(aEndpoint);
  return state == nullptr ? 0 : static_cast<int>(state->leases.size());
}

int
SlotTable::Slots() const
{
  int slots = 0;
  for (const State& state : this->endpoints) {
    slots += state.endpoint.acceptsRequests ? state.endpoint.slots : 0;
  }
  return slots;
}

} // namespace lagoonward
