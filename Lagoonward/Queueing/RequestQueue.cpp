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
        const Waiter left = this->Remove(*index);
        if (left.respond) {
          left.respond({ SlotAnswer::Refused });
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
      this->slots.End(aMessage.lease, aMessage.action);
      break;
  }
  this->Update();
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
    this->Poll(this->waiting[*index], aMessage, aRespond);
    this->Update();
    return;
  }
  this->slots.Expire();
  this->arrivals.OnArrived(aMessage.priority, aMessage.work);
  this->Insert(this->MakeWaiter(aMessage, aRespond));
  this->GrantFreeSlots();
  this->RefuseLate();
  const auto index = this->FindWaiter(aMessage.lease);
  if (index && aMessage.waitMs == 0) {
    const double workAhead = std::accumulate(
      this->waiting.begin(), this->waiting.begin() + static_cast<std::ptrdiff_t>(*index + 1), 0.0,
      [](double aSum, const Waiter& aEach) { return aSum + aEach.message.work; });
    this->Refuse(this->Remove(*index),
                 this->ExpectedStart(aMessage.priority, workAhead, this->slots.WorkPerSecond()));
  } else if (index) {
    ++this->counts.queued;
  }
  if (this->waiting.size() > this->settings.maximumWaiting) {
    this->Refuse(this->Remove(this->waiting.size() - 1), this->clock.Now());
  }
  this->RecordEmptiness();
}

FairTurns&
RequestQueue::TurnsOf(int aPriority)
{
  return this->turns.try_emplace(aPriority, this->settings.maximumAccounts).first->second;
}

RequestQueue::Waiter
RequestQueue::MakeWaiter(const SlotMessage& aMessage, const Responder& aRespond)
{
  const TimePoint now = this->clock.Now();
  Waiter waiter;
  waiter.tag =
    this->TurnsOf(aMessage.priority).OnArrived(aMessage.account, aMessage.work, aMessage.weight);
  waiter.arrivedAt = now - Milliseconds(aMessage.ageMs);
  waiter.targetAt = now + Milliseconds(aMessage.targetMs);
  waiter.deadlineAt = now + Milliseconds(aMessage.budgetMs);
  this->Poll(waiter, aMessage, aRespond);
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
RequestQueue::Insert(Waiter aWaiter)
{
  const auto position =
    std::upper_bound(this->waiting.begin(), this->waiting.end(), aWaiter, &RequestQueue::IsBefore);
  this->waiting.insert(position, std::move(aWaiter));
}

RequestQueue::Waiter
RequestQueue::Remove(std::size_t aIndex)
{
  Waiter removed = std::move(this->waiting[aIndex]);
  this->waiting.erase(this->waiting.begin() + static_cast<std::ptrdiff_t>(aIndex));
  const SlotMessage& message = removed.message;
  this->TurnsOf(message.priority).OnLeft(message.account, message.work, message.weight);
  return removed;
}

std::optional<std::size_t>
RequestQueue::FindWaiter(std::uint64_t aLease) const
{
  const auto found =
    std::find_if(this->waiting.begin(), this->waiting.end(),
                 [&](const Waiter& aEach) { return aEach.message.lease == aLease; });
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
  double workAhead = 0;
  for (std::size_t index = 0; index < this->waiting.size();) {
    const SlotMessage& message = this->waiting[index].message;
    const auto endpoint = this->slots.Select(message.work, message.memoryTokens, message.excluded);
    if (endpoint && !this->ShouldWaitForFaster(this->waiting[index], *endpoint, workAhead)) {
      Waiter granted = std::move(this->waiting[index]);
      this->waiting.erase(this->waiting.begin() + static_cast<std::ptrdiff_t>(index));
      this->Grant(std::move(granted), *endpoint);
      continue;
    }
    // What is free is kept for a request that is too large for it, as smaller ones would always be served first. One that
    // only excludes the free endpoints holds nobody up
    if (!endpoint && !this->slots.Select(message.work, message.memoryTokens, {})) {
      return;
    }
    workAhead += message.work;
    ++index;
  }
}

bool
RequestQueue::ShouldWaitForFaster(const Waiter& aWaiter, std::uint64_t aEndpoint,
                                  double aWorkAhead) const
{
  const TimePoint now = this->clock.Now();
  const double work = aWaiter.message.work;
  if (now + FromSeconds(this->slots.ExpectedSeconds(aEndpoint, work)) <= aWaiter.targetAt) {
    return false;
  }
  const TimePoint start =
    this->ExpectedStart(aWaiter.message.priority, aWorkAhead + work, this->slots.WorkPerSecond());
  return start + FromSeconds(this->slots.FastestSeconds(work)) <= aWaiter.targetAt;
}

void
RequestQueue::Grant(Waiter aWaiter, std::uint64_t aEndpoint)
{
  this->TurnsOf(aWaiter.message.priority).OnServed(aWaiter.tag);
  ++this->counts.granted;
  if (!aWaiter.respond) {
    aWaiter.message.leaseMs = static_cast<std::uint32_t>(this->settings.pollGrace.count());
  }
  this->slots.Take(aEndpoint, aWaiter.message);
  if (aWaiter.respond) {
    aWaiter.respond({ SlotAnswer::Granted, aEndpoint });
  }
}

void
RequestQueue::RefuseLate()
{
  const double workPerSecond = this->slots.WorkPerSecond();
  double workAhead = 0;
  for (std::size_t index = 0; index < this->waiting.size();) {
    const Waiter& waiter = this->waiting[index];
    const TimePoint start =
      this->ExpectedStart(waiter.message.priority, workAhead + waiter.message.work, workPerSecond);
    if (start > this->LatestStart(waiter)) {
      if (const auto endpoint = this->SelectSlow(waiter)) {
        Waiter granted = std::move(this->waiting[index]);
        this->waiting.erase(this->waiting.begin() + static_cast<std::ptrdiff_t>(index));
        this->Grant(std::move(granted), *endpoint);
      } else {
        this->Refuse(this->Remove(index), start);
      }
      continue;
    }
    workAhead += waiter.message.work;
    ++index;
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
  ++this->counts.refused;
  if (!aWaiter.respond) {
    return;
  }
  const TimePoint now = this->clock.Now();
  SlotReply reply{ SlotAnswer::Refused };
  reply.expectedWaitMs = CeilMilliseconds(aExpectedStart - now);
  const auto excess = std::max<TimePoint::duration>(aExpectedStart - this->LatestStart(aWaiter),
                                                    this->settings.minimumRetryAfter);
  reply.retryAfterMs = CeilMilliseconds(excess);
  aWaiter.respond(reply);
}

void
RequestQueue::ForgetSilent()
{
  const TimePoint now = this->clock.Now();
  for (std::size_t index = this->waiting.size(); index-- > 0;) {
    if (this->waiting[index].forgottenAt <= now) {
      this->Refuse(this->Remove(index), now);
    }
  }
}

void
RequestQueue::AnswerPolls()
{
  const TimePoint now = this->clock.Now();
  for (Waiter& waiter : this->waiting) {
    if (waiter.respond && waiter.respondBy <= now) {
      std::exchange(waiter.respond, nullptr)({ SlotAnswer::Waiting });
    }
  }
}

TimePoint
RequestQueue::LatestStart(const Waiter& aWaiter) const
{
  const double seconds = this->slots.FastestSeconds(aWaiter.message.work);
  if (!this->IsStanding(aWaiter.message.priority)) {
    return aWaiter.deadlineAt - FromSeconds(seconds);
  }
  return std::min(aWaiter.targetAt, aWaiter.deadlineAt) -
         FromSeconds(seconds * (1 + this->settings.targetMargin));
}

TimePoint
RequestQueue::ExpectedStart(int aPriority, double aWorkAhead, double aWorkPerSecond) const
{
  double remaining = aWorkPerSecond;
  if (this->IsStanding(aPriority)) {
    remaining = std::max(aWorkPerSecond - this->arrivals.Above(aPriority),
                         aWorkPerSecond * this->settings.minimumRemainingRate);
  }
  const double seconds =
    remaining > 0 ? std::min(aWorkAhead / remaining, kMaximumWaitSeconds) : kMaximumWaitSeconds;
  return this->clock.Now() + FromSeconds(seconds);
}

bool
RequestQueue::IsStanding(int aPriority) const
{
  const auto empty = this->emptyAt.find(aPriority);
  return empty != this->emptyAt.end() &&
         this->clock.Now() - empty->second >= this->settings.standingAfter;
}

void
RequestQueue::RecordEmptiness()
{
  const TimePoint now = this->clock.Now();
  // A new owner that finds requests waiting at once has taken over a queue of unknown age
  const bool isYoung = now < this->takenOverAt + this->settings.takeoverPeriod;
  const TimePoint initial = isYoung ? now - this->settings.standingAfter : now;
  for (const Waiter& waiter : this->waiting) {
    this->emptyAt.try_emplace(waiter.message.priority, initial);
  }
  if (isYoung) {
    return;
  }
  const auto firstEmpty = this->waiting.empty()
                            ? this->emptyAt.begin()
                            : this->emptyAt.upper_bound(this->waiting.front().message.priority);
  for (auto each = firstEmpty; each != this->emptyAt.end(); ++each) {
    each->second = now;
  }
}

void
RequestQueue::OnTakenOver()
{
  this->takenOverAt = this->clock.Now();
  this->emptyAt.clear();
}

void
RequestQueue::OnRunEnded(std::uint64_t aRun)
{
  this->slots.OnRunEnded(aRun);
  for (std::size_t index = this->waiting.size(); index-- > 0;) {
    if (this->waiting[index].message.run == aRun) {
      this->Remove(index);
    }
  }
  this->Update();
}

void
RequestQueue::Close()
{
  std::vector<Waiter> closed = std::exchange(this->waiting, {});
  for (const Waiter& waiter : closed) {
    if (waiter.respond) {
      waiter.respond({ SlotAnswer::NotOwner });
    }
  }
}

std::size_t
RequestQueue::Waiting() const
{
  return this->waiting.size();
}

} // namespace lagoonward
