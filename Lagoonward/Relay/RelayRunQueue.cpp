#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Relay/RelayRun.h"

#include <algorithm>
#include <utility>

// Part of RelayRun: waits for a slot in the queue of a pool of endpoints.

namespace lagoonward {

namespace {

std::uint32_t
MillisecondsUntil(TimePoint aTime, TimePoint aNow)
{
  const auto left = std::chrono::floor<Milliseconds>(aTime - aNow).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(left, 0, UINT32_MAX));
}

/// The pools of a service in which an endpoint accepts requests that is not excluded.
std::vector<const QueuePool*>
UsablePools(const QueuePools& aPools, std::string_view aService,
            std::span<const std::uint64_t> aExcluded)
{
  const auto isUsable = [&](const PoolEndpoint& aEndpoint) {
    return aEndpoint.acceptsRequests &&
           std::find(aExcluded.begin(), aExcluded.end(), aEndpoint.key) == aExcluded.end();
  };
  std::vector<const QueuePool*> usable;
  for (const QueuePool& pool : aPools.PoolsOf(aService)) {
    if (std::any_of(pool.endpoints.begin(), pool.endpoints.end(), isUsable)) {
      usable.push_back(&pool);
    }
  }
  return usable;
}

} // namespace

bool
RelayRun::IsQueued() const
{
  return !this->bypassesQueue &&
         !this->context.queuePools.Get()->PoolsOf(this->call.service).empty() &&
         !this->context.brittleServices.IsBrittle(this->call.service);
}

std::vector<std::uint64_t>
RelayRun::UnusableEndpoints(bool aIncludesFailed) const
{
  std::vector<std::string> ids = this->context.gate.BlockedEndpoints(this->call.service);
  if (aIncludesFailed) {
    ids.insert(ids.end(), this->failedEndpoints.begin(), this->failedEndpoints.end());
  }
  const FleetSnapshotPtr fleet = this->context.fleet.Get();
  std::vector<std::uint64_t> keys;
  for (const Endpoint& endpoint : fleet->endpoints) {
    if (endpoint.name != this->call.service) {
      continue;
    }
    const bool isListed = std::find(ids.begin(), ids.end(), endpoint.id) != ids.end();
    const bool isOtherVersion =
      this->origin && endpoint.softwareVersion != this->origin->softwareVersion;
    // The owner of the pool may not know yet that an endpoint leaves
    if (endpoint.state != EndpointState::Live || isListed || isOtherVersion ||
        !this->context.router.IsAllowed(endpoint.id)) {
      keys.push_back(EndpointKeyOf(endpoint));
    }
  }
  return keys;
}

void
RelayRun::RequestSlot()
{
  const QueuePoolsPtr pools = this->context.queuePools.Get();
  std::vector<std::uint64_t> excluded = this->UnusableEndpoints(true);
  std::vector<const QueuePool*> usable = UsablePools(*pools, this->call.service, excluded);
  if (usable.empty()) {
    // An endpoint that has failed this request is asked again if there is no other
    excluded = this->UnusableEndpoints(false);
    usable = UsablePools(*pools, this->call.service, excluded);
  }
  if (usable.empty()) {
    this->WaitForEndpoint(
      Error(ErrorKind::NoEndpoint, "No endpoint of the service accepts requests."));
    return;
  }
  SlotMessage identity;
  this->context.slots.Identify(identity);
  const auto step = this->slotSearch.Next(usable, CombineHashes(identity.lease, 1));
  if (!step) {
    this->RefuseForLackOfSlots();
    return;
  }
  SlotMessage request = this->MakeSlotRequest(step->pool);
  request.run = identity.run;
  request.lease = identity.lease;
  std::erase_if(excluded, [&](std::uint64_t aEach) { return pools->PoolOf(aEach) != step->pool; });
  excluded.insert(excluded.end(), this->unknownEndpoints.begin(), this->unknownEndpoints.end());
  request.excluded = std::move(excluded);
  const bool mayWait = step->mayWait && this->TryHoldWaitingBytes();
  request.waitMs =
    mayWait ? static_cast<std::uint32_t>(this->context.settings.slotPollTime.count()) : 0;
  if (!this->slotWaitSince) {
    this->slotWaitSince = this->context.loop.GetClock().Now();
  }
  this->slotRequest = std::move(request);
  this->AskForSlot();
}

bool
RelayRun::TryHoldWaitingBytes()
{
  this->waitingBytes = this->context.waitingBytes.TryHold(this->call.body.Size());
  this->lacksMemoryToWait = !this->waitingBytes;
  return !this->lacksMemoryToWait;
}

void
RelayRun::EndSlotRequest()
{
  this->slotRequest.reset();
  this->waitingBytes.reset();
}

SlotMessage
RelayRun::MakeSlotRequest(std::uint64_t aPool) const
{
  SlotMessage request;
  request.pool = aPool;
  request.priority = this->call.priority;
  request.account = HashBytes(this->call.account);
  return request;
}

void
RelayRun::AskForSlot()
{
  SlotMessage& request = *this->slotRequest;
  const TimePoint now = this->context.loop.GetClock().Now();
  const TimePoint deadline = this->call.EffectiveDeadline();
  if (!this->noSlotOwnerSince) {
    this->noSlotOwnerSince = now;
  }
  request.ageMs = MillisecondsUntil(now, this->call.receivedAt);
  request.targetMs =
    MillisecondsUntil(this->call.receivedAt + this->call.route->firstEventTarget, now);
  request.budgetMs = MillisecondsUntil(deadline, now);
  request.leaseMs = MillisecondsUntil(deadline + this->context.settings.slotLeaseMargin, now);
  SlotRegistry& slots = this->context.slots;
  SlotSource& source = *this->context.slotSource;
  const auto onReply = [this, aliveToken = std::weak_ptr(this->aliveToken), &slots, &source,
                        asked = request](const SlotReply& aReply) {
    SlotHold granted;
    if (aReply.answer == SlotAnswer::Granted) {
      SlotMessage taken = asked;
      taken.grantedBy = aReply.owner;
      granted = SlotHold(slots, source, taken, aReply.endpoint);
    }
    const bool isExpected = !aliveToken.expired() && !this->ended && this->slotRequest &&
                            this->slotRequest->lease == asked.lease;
    if (!isExpected) {
      granted.End(SlotAction::Withdraw);
      return;
    }
    this->OnSlotReply(std::move(granted), aReply);
  };
  source.RequestSlot(request, [&loop = this->context.loop, onReply](const SlotReply& aReply) {
    loop.Post([onReply, aReply] { onReply(aReply); });
  });
}

void
RelayRun::OnSlotReply(SlotHold aSlot, const SlotReply& aReply)
{
  if (aReply.answer != SlotAnswer::NotOwner) {
    this->noSlotOwnerSince.reset();
  }
  switch (aReply.answer) {
    case SlotAnswer::Granted:
      this->EndSlotRequest();
      this->OnSlotGranted(std::move(aSlot), aReply.endpoint);
      return;
    case SlotAnswer::Waiting:
      this->endpointWaitSince = this->context.loop.GetClock().Now();
      this->AskForSlot();
      return;
    case SlotAnswer::Refused:
      this->EndSlotRequest();
      this->slotSearch.OnRefused(aReply);
      this->RequestSlot();
      return;
    case SlotAnswer::NotOwner:
    case SlotAnswer::Applied:
      this->EndSlotRequest();
      this->OnNoSlotOwner();
      return;
  }
}

void
RelayRun::OnNoSlotOwner()
{
  const TimePoint now = this->context.loop.GetClock().Now();
  const TimePoint since = this->noSlotOwnerSince.value_or(now);
  if (now - since < this->context.settings.slotOwnerWait) {
    // The owners are changing; the request keeps its age
    this->WaitForEndpoint(
      Error(ErrorKind::NoEndpoint, "No daemon answers that gives out the slots of the service."));
    return;
  }
  // The owners do not queue requests, as while the setting is changed daemon by daemon
  this->bypassesQueue = true;
  this->Dispatch();
}

void
RelayRun::OnSlotGranted(SlotHold aSlot, std::uint64_t aEndpoint)
{
  const QueuePoolsPtr pools = this->context.queuePools.Get();
  const std::string id(pools->IdOf(aEndpoint));
  const bool isNew = std::find(this->unknownEndpoints.begin(), this->unknownEndpoints.end(),
                               aEndpoint) == this->unknownEndpoints.end();
  if (id.empty() && isNew) {
    // The owner has a newer list of endpoints
    aSlot.End(SlotAction::Withdraw);
    this->unknownEndpoints.push_back(aEndpoint);
    this->RequestSlot();
    return;
  }
  RouteRequest request = this->MakeRouteRequest();
  request.onlyEndpoint = id;
  auto choice = id.empty() ? Result<RouteChoice>(Error(ErrorKind::NoEndpoint, "unknown endpoint"))
                           : this->context.router.Choose(request);
  if (!choice) {
    aSlot.End(SlotAction::Withdraw);
    this->WaitForEndpoint(choice.error());
    return;
  }
  this->slot = std::move(aSlot);
  this->RequestPermitOrBegin(std::move(choice.value()));
}

std::optional<Milliseconds>
RelayRun::TakeSlotWait()
{
  const auto since = std::exchange(this->slotWaitSince, {});
  if (!since || !this->slot.IsHeld()) {
    return std::nullopt;
  }
  return std::chrono::floor<Milliseconds>(this->context.loop.GetClock().Now() - *since);
}

void
RelayRun::RefuseForLackOfSlots()
{
  if (this->mayHaveRun) {
    this->Fail(Error(ErrorKind::EndpointFailed, this->lastReason, Ran::Unknown));
    return;
  }
  const char* const reason =
    this->lacksMemoryToWait
      ? "No endpoint has a free slot, and no request of this size may wait for one now."
      : "No endpoint has a free slot in time.";
  this->Fail(Error(ErrorKind::Overloaded, reason, Ran::No)
               .WithRetryAfter(
                 std::max(this->slotSearch.RetryAfter(), this->context.settings.retryAfterFloor)));
}

void
RelayRun::WithdrawSlotRequest()
{
  if (!this->slotRequest) {
    return;
  }
  SlotMessage withdrawal = *std::exchange(this->slotRequest, {});
  this->waitingBytes.reset();
  withdrawal.action = SlotAction::Withdraw;
  this->context.slotSource->Notify(withdrawal);
}

} // namespace lagoonward
