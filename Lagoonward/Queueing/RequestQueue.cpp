#include "Lagoonward/Queueing/RequestQueue.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace lagoonward {

namespace {

/// The time of a duration that is added to a time point.
TimePoint::duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(aSeconds));
}

std::uint32_t
CeilMilliseconds(TimePoint::duration aTime)
{
  const auto count = std::chrono::ceil<Milliseconds>(aTime).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

/// For how long a refusal shows that an empty queue is no sign of free slots. Under lasting overload refusals follow each
/// other faster; a single one after a burst should not make the queue refuse the next burst.
constexpr Milliseconds kRefusalMemory{ 200 };

/// Beyond this, a wait is only known to be long.
constexpr double kMaximumWaitSeconds = 3600;

} // namespace

RequestQueue::RequestQueue(const RequestQueueSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
  , slots(aSettings.slots, aClock)
  , arrivals(aSettings.arrivalWindow, aClock)
  , takenOverAt(aClock.Now())
{
}

void
RequestQueue::SetEndpoints(std::span<const PoolEndpoint> aEndpoints)
{
  this->slots.SetEndpoints(aEndpoints);
  this->Update();
}

void
RequestQueue::Handle(const SlotMessage& aMessage, const Responder& aRespond)
{
  switch (aMessage.action) {
    case SlotAction::Request:
      this->HandleRequest(aMessage, aRespond);
      return;
    case SlotAction::Withdraw:
      this->slots.Release(aMessage.lease);
      if (const auto index = this->FindWaiter(aMessage.lease)) {
        const WaiterPtr left = this->Remove(*index);
        if (left->respond) {
          left->respond({ SlotAnswer::Refused });
        }
      }
      break;
    case SlotAction::Declare:
      this->slots.Take(aMessage.endpoint, aMessage);
      return;
    case SlotAction::Complete:
    case SlotAction::Fail:
    case SlotAction::Lose:
    case SlotAction::Abandon:
    case SlotAction::Reject:
      this->slots.End(aMessage.lease, aMessage.action, Milliseconds(aMessage.heldMs));
      break;
  }
  this->slots.Expire();
  this->GrantFreeSlots();
  this->RefuseLate();
  this->RecordEmptiness();
}

void
RequestQueue::HandleRequest(const SlotMessage& aMessage, const Responder& aRespond)
{
  if (!this->HasEndpoints()) {
    aRespond({ SlotAnswer::NotOwner });
    return;
  }
  if (const auto endpoint = this->slots.EndpointOf(aMessage.lease)) {
    // Granted between two polls, or the reply was lost
    this->slots.Take(*endpoint, aMessage);
    aRespond({ SlotAnswer::Granted, *endpoint });
    return;
  }
  if (const auto index = this->FindWaiter(aMessage.lease)) {
    this->Poll(*this->waiting[*index], aMessage, aRespond);
    this->Update();
    return;
  }
  this->slots.Expire();
  this->Insert(this->MakeWaiter(aMessage, aRespond));
  this->GrantFreeSlots();
  // A request that looks for a free slot in several pools is no work that arrives here, and it delays nobody
  if (aMessage.waitMs == 0 && this->RefuseToQueue(aMessage.lease)) {
    this->RecordEmptiness();
    return;
  }
  this->arrivals.OnArrived(aMessage.priority, aMessage.work);
  this->RefuseLate();
  if (this->FindWaiter(aMessage.lease)) {
    ++this->counts.queued;
  }
  if (this->waiting.size() > this->settings.maximumWaiting) {
    this->Refuse(*this->Remove(this->waiting.size() - 1), this->clock.Now());
  }
  this->RecordEmptiness();
}

bool
RequestQueue::RefuseToQueue(std::uint64_t aLease)
{
  const auto index = this->FindWaiter(aLease);
  if (!index) {
    return false;
  }
  const Waiter& waiter = *this->waiting[*index];
  const double workAhead = std::accumulate(
    this->waiting.begin(), this->waiting.begin() + static_cast<std::ptrdiff_t>(*index + 1), 0.0,
    [](double aSum, const WaiterPtr& aEach) { return aSum + aEach->message.work; });
  const Forecast forecast = this->MakeForecast(waiter.message.priority);
  const TimePoint start = ExpectedStart(forecast, workAhead);
  const bool isLate = start > LatestStart(forecast, waiter, this->settings.targetMargin);
  if (const auto endpoint = isLate ? this->SelectSlow(waiter) : std::nullopt) {
    this->Grant(this->Extract(*index), *endpoint);
    return false;
  }
  this->Refuse(*this->Remove(*index), start);
  return true;
}

FairTurns&
RequestQueue::TurnsOf(int aPriority)
{
  return this->turns.try_emplace(aPriority, this->settings.maximumAccounts).first->second;
}

RequestQueue::WaiterPtr
RequestQueue::MakeWaiter(const SlotMessage& aMessage, const Responder& aRespond)
{
  const TimePoint now = this->clock.Now();
  auto waiter = std::make_unique<Waiter>();
  waiter->tag =
    this->TurnsOf(aMessage.priority).OnArrived(aMessage.account, aMessage.work, aMessage.weight);
  waiter->arrivedAt = now - Milliseconds(aMessage.ageMs);
  waiter->targetAt = now + Milliseconds(aMessage.targetMs);
  waiter->deadlineAt = now + Milliseconds(aMessage.budgetMs);
  this->Poll(*waiter, aMessage, aRespond);
  return waiter;
}

void
RequestQueue::Poll(Waiter& aWaiter, const SlotMessage& aMessage, const Responder& aRespond) const
{
  const TimePoint now = this->clock.Now();
  if (aWaiter.respond) {
    aWaiter.respond({ SlotAnswer::Waiting });
  }
  aWaiter.message = aMessage;
  aWaiter.respond = aRespond;
  aWaiter.respondBy = now + Milliseconds(aMessage.waitMs);
  aWaiter.forgottenAt = aWaiter.respondBy + this->settings.pollGrace;
}

bool
RequestQueue::IsBefore(const Waiter& aLeft, const Waiter& aRight)
{
  return std::tuple(-aLeft.message.priority, aLeft.tag, aLeft.arrivedAt) <
         std::tuple(-aRight.message.priority, aRight.tag, aRight.arrivedAt);
}

void
RequestQueue::Insert(WaiterPtr aWaiter)
{
  const auto position = std::upper_bound(
    this->waiting.begin(), this->waiting.end(), aWaiter,
    [](const WaiterPtr& aLeft, const WaiterPtr& aRight) { return IsBefore(*aLeft, *aRight); });
  this->waiting.insert(position, std::move(aWaiter));
}

RequestQueue::WaiterPtr
RequestQueue::Extract(std::size_t aIndex)
{
  WaiterPtr extracted = std::move(this->waiting[aIndex]);
  this->waiting.erase(this->waiting.begin() + static_cast<std::ptrdiff_t>(aIndex));
  return extracted;
}

RequestQueue::WaiterPtr
RequestQueue::Remove(std::size_t aIndex)
{
  WaiterPtr removed = this->Extract(aIndex);
  const SlotMessage& message = removed->message;
  this->TurnsOf(message.priority).OnLeft(message.account, message.work, message.weight);
  return removed;
}

std::optional<std::size_t>
RequestQueue::FindWaiter(std::uint64_t aLease) const
{
  const auto found =
    std::find_if(this->waiting.begin(), this->waiting.end(),
                 [&](const WaiterPtr& aEach) { return aEach->message.lease == aLease; });
  return found == this->waiting.end()
           ? std::nullopt
           : std::optional(static_cast<std::size_t>(found - this->waiting.begin()));
}

void
RequestQueue::Update()
{
  this->slots.Expire();
  this->ForgetSilent();
  this->GrantFreeSlots();
  this->RefuseLate();
  this->AnswerPolls();
  this->RecordEmptiness();
}

void
RequestQueue::GrantFreeSlots()
{
  std::vector<std::uint64_t> kept;
  Forecast forecast;
  double workAhead = 0;
  for (std::size_t index = 0; index < this->waiting.size();) {
    const SlotMessage& message = this->waiting[index]->message;
    const auto endpoint = this->SelectExcept(message, message.memoryTokens, kept);
    if (!endpoint && !this->slots.Select(message.work, 0, kept)) {
      return;
    }
    if (!endpoint) {
      // Smaller requests would always be served first
      this->KeepMemory(message, kept);
    }
    if (endpoint && (!forecast.isCurrent || forecast.priority != message.priority)) {
      forecast = this->MakeForecast(message.priority);
    }
    if (endpoint &&
        !this->ShouldWaitForFaster(*this->waiting[index], *endpoint, forecast, workAhead)) {
      this->Grant(this->Extract(index), *endpoint);
      forecast.isCurrent = false;
      continue;
    }
    workAhead += message.work;
    ++index;
  }
}

std::optional<std::uint64_t>
RequestQueue::SelectExcept(const SlotMessage& aMessage, std::uint32_t aMemoryTokens,
                           const std::vector<std::uint64_t>& aKept) const
{
  if (aKept.empty()) {
    return this->slots.Select(aMessage.work, aMemoryTokens, aMessage.excluded);
  }
  std::vector<std::uint64_t> excluded = aMessage.excluded;
  excluded.insert(excluded.end(), aKept.begin(), aKept.end());
  return this->slots.Select(aMessage.work, aMemoryTokens, excluded);
}

void
RequestQueue::KeepMemory(const SlotMessage& aMessage, std::vector<std::uint64_t>& aKept) const
{
  while (const auto endpoint = this->SelectExcept(aMessage, 0, aKept)) {
    aKept.push_back(*endpoint);
  }
}

bool
RequestQueue::ShouldWaitForFaster(const Waiter& aWaiter, std::uint64_t aEndpoint,
                                  const Forecast& aForecast, double aWorkAhead) const
{
  const double work = aWaiter.message.work;
  const double seconds = this->slots.ExpectedSeconds(aEndpoint, work);
  if (aForecast.now + FromSeconds(seconds) <= aWaiter.targetAt) {
    return false;
  }
  const TimePoint start = ExpectedStart(aForecast, aWorkAhead + work);
  return start + FromSeconds(aForecast.fastestSecondsPerWork * work) <= aWaiter.targetAt;
}

void
RequestQueue::Grant(WaiterPtr aWaiter, std::uint64_t aEndpoint)
{
  this->TurnsOf(aWaiter->message.priority).OnServed(aWaiter->tag);
  ++this->counts.granted;
  if (!aWaiter->respond) {
    aWaiter->message.leaseMs = static_cast<std::uint32_t>(this->settings.pollGrace.count());
  }
  this->slots.Take(aEndpoint, aWaiter->message);
  if (aWaiter->respond) {
    aWaiter->respond({ SlotAnswer::Granted, aEndpoint });
  }
}

void
RequestQueue::RefuseLate()
{
  Forecast forecast;
  double workAhead = 0;
  for (std::size_t index = 0; index < this->waiting.size();) {
    const Waiter& waiter = *this->waiting[index];
    const int priority = waiter.message.priority;
    if (!forecast.isCurrent || forecast.priority != priority) {
      forecast = this->MakeForecast(priority);
    }
    const TimePoint start = ExpectedStart(forecast, workAhead + waiter.message.work);
    if (start <= LatestStart(forecast, waiter, this->settings.targetMargin)) {
      workAhead += waiter.message.work;
      ++index;
    } else if (const auto endpoint = this->SelectSlow(waiter)) {
      this->Grant(this->Extract(index), *endpoint);
      forecast.isCurrent = false;
    } else {
      if (this->IsStanding(priority)) {
        this->refusedAt[priority] = this->clock.Now();
      }
      this->Refuse(*this->Remove(index), start);
    }
  }
}

std::optional<std::uint64_t>
RequestQueue::SelectSlow(const Waiter& aWaiter) const
{
  const SlotMessage& message = aWaiter.message;
  const auto endpoint = this->slots.Select(message.work, message.memoryTokens, message.excluded);
  if (!endpoint) {
    return std::nullopt;
  }
  const double seconds = this->slots.ExpectedSeconds(*endpoint, message.work);
  return this->clock.Now() + FromSeconds(seconds) <= aWaiter.deadlineAt ? endpoint : std::nullopt;
}

void
RequestQueue::Refuse(const Waiter& aWaiter, TimePoint aExpectedStart)
{
  // One that may not wait here has only asked whether a slot is free
  this->counts.refused += aWaiter.message.waitMs > 0 ? 1 : 0;
  if (!aWaiter.respond) {
    return;
  }
  const TimePoint now = this->clock.Now();
  SlotReply reply{ SlotAnswer::Refused };
  reply.expectedWaitMs = CeilMilliseconds(aExpectedStart - now);
  const Forecast forecast = this->MakeForecast(aWaiter.message.priority);
  const TimePoint latest = LatestStart(forecast, aWaiter, this->settings.targetMargin);
  // Endpoints that all fail are tried again after the pause
  const TimePoint::duration excess =
    forecast.workPerSecond > 0 ? aExpectedStart - latest : this->settings.slots.failurePause;
  reply.retryAfterMs =
    CeilMilliseconds(std::max<TimePoint::duration>(excess, this->settings.minimumRetryAfter));
  aWaiter.respond(reply);
}

void
RequestQueue::ForgetSilent()
{
  const TimePoint now = this->clock.Now();
  for (std::size_t index = this->waiting.size(); index-- > 0;) {
    if (this->waiting[index]->forgottenAt <= now) {
      this->Refuse(*this->Remove(index), now);
    }
  }
}

void
RequestQueue::AnswerPolls()
{
  const TimePoint now = this->clock.Now();
  for (const WaiterPtr& waiter : this->waiting) {
    if (waiter->respond && waiter->respondBy <= now) {
      std::exchange(waiter->respond, nullptr)({ SlotAnswer::Waiting });
    }
  }
}

RequestQueue::Forecast
RequestQueue::MakeForecast(int aPriority) const
{
  Forecast forecast;
  forecast.isCurrent = true;
  forecast.now = this->clock.Now();
  forecast.priority = aPriority;
  forecast.isStanding = this->IsStanding(aPriority);
  forecast.fastestSecondsPerWork = this->slots.FastestSeconds(1);
  forecast.workPerSecond = this->slots.WorkPerSecond();
  if (forecast.isStanding) {
    forecast.workPerSecond = std::max(forecast.workPerSecond - this->arrivals.Above(aPriority),
                                      forecast.workPerSecond * this->settings.minimumRemainingRate);
  }
  return forecast;
}

TimePoint
RequestQueue::LatestStart(const Forecast& aForecast, const Waiter& aWaiter, double aTargetMargin)
{
  const double seconds = aForecast.fastestSecondsPerWork * aWaiter.message.work;
  if (!aForecast.isStanding) {
    return aWaiter.deadlineAt - FromSeconds(seconds);
  }
  return std::min(aWaiter.targetAt, aWaiter.deadlineAt) -
         FromSeconds(seconds * (1 + aTargetMargin));
}

TimePoint
RequestQueue::ExpectedStart(const Forecast& aForecast, double aWorkAhead)
{
  const double seconds = aForecast.workPerSecond > 0
                           ? std::min(aWorkAhead / aForecast.workPerSecond, kMaximumWaitSeconds)
                           : kMaximumWaitSeconds;
  return aForecast.now + FromSeconds(seconds);
}

bool
RequestQueue::IsStanding(int aPriority) const
{
  const auto empty = this->emptyAt.find(aPriority);
  return empty != this->emptyAt.end() &&
         this->clock.Now() - empty->second >= this->settings.standingAfter;
}

bool
RequestQueue::IsStanding() const
{
  return std::any_of(this->waiting.begin(), this->waiting.end(), [this](const WaiterPtr& aEach) {
    return this->IsStanding(aEach->message.priority);
  });
}

void
RequestQueue::RecordEmptiness()
{
  const TimePoint now = this->clock.Now();
  // A new owner that finds requests waiting at once has taken over a queue of unknown age
  const bool isYoung = now < this->takenOverAt + this->settings.takeoverPeriod;
  const TimePoint initial = isYoung ? now - this->settings.standingAfter : now;
  // From each priority to the next lower one
  for (auto each = this->waiting.begin(); each != this->waiting.end();) {
    const int priority = (*each)->message.priority;
    this->emptyAt.try_emplace(priority, initial);
    each = std::partition_point(each, this->waiting.end(), [&](const WaiterPtr& aEach) {
      return aEach->message.priority == priority;
    });
  }
  if (isYoung) {
    return;
  }
  const auto firstEmpty = this->waiting.empty()
                            ? this->emptyAt.begin()
                            : this->emptyAt.upper_bound(this->waiting.front()->message.priority);
  for (auto each = firstEmpty; each != this->emptyAt.end(); ++each) {
    if (!this->RefusesRequests(each->first)) {
      each->second = now;
    }
  }
}

bool
RequestQueue::RefusesRequests(int aPriority) const
{
  const auto refused = this->refusedAt.find(aPriority);
  return refused != this->refusedAt.end() && this->clock.Now() - refused->second < kRefusalMemory;
}

void
RequestQueue::OnTakenOver()
{
  this->takenOverAt = this->clock.Now();
  this->emptyAt.clear();
  this->refusedAt.clear();
}

void
RequestQueue::OnRunEnded(std::uint64_t aRun)
{
  this->slots.OnRunEnded(aRun);
  for (std::size_t index = this->waiting.size(); index-- > 0;) {
    if (this->waiting[index]->message.run == aRun) {
      this->Remove(index);
    }
  }
  this->Update();
}

void
RequestQueue::Close()
{
  std::vector<WaiterPtr> closed = std::exchange(this->waiting, {});
  for (const WaiterPtr& waiter : closed) {
    if (waiter->respond) {
      waiter->respond({ SlotAnswer::NotOwner });
    }
  }
}

std::size_t
RequestQueue::Waiting() const
{
  return this->waiting.size();
}

} // namespace lagoonward
