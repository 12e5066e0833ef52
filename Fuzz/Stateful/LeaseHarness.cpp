#include "Fuzz/Stateful/LeaseHarness.h"

#include <algorithm>

namespace lagoonward::fuzz {

namespace {

using Fault = testing::FakeLogService::Fault;

constexpr int kPageLimit = 100;
constexpr std::array kFaults{ Fault::None, Fault::Refused, Fault::AnswerLost, Fault::Late };

} // namespace

LeaseHarness::LeaseHarness()
{
  for (int actor = 0; actor < kActors; ++actor) {
    this->Restart(actor);
  }
}

void
LeaseHarness::Restart(int aActor)
{
  Daemon& daemon = this->daemons[aActor];
  daemon.run = "run-" + std::to_string(this->runs++);
  daemon.manager = std::make_unique<LeaseManager>(this->settings, this->clock,
                                                  "d-" + std::to_string(aActor), daemon.run);
  daemon.manager->SetRank(aActor);
}

void
LeaseHarness::Read(Daemon& aDaemon)
{
  const auto page =
    this->log.Read(this->stream, aDaemon.manager->NextOffset(), kPageLimit, Milliseconds(0));
  if (page) {
    aDaemon.manager->ObservePage(page.value());
  }
}

void
LeaseHarness::Append(Daemon& aDaemon)
{
  if (const auto record = aDaemon.manager->NextAppend()) {
    static_cast<void>(this->log.Append(this->stream, *record));
  }
}

void
LeaseHarness::Step(Daemon& aDaemon)
{
  this->Read(aDaemon);
  this->Append(aDaemon);
  this->Read(aDaemon);
}

LeaseHarness::Daemon*
LeaseHarness::FindHolder()
{
  const auto found = std::find_if(this->daemons.begin(), this->daemons.end(),
                                  [](const Daemon& aDaemon) { return aDaemon.manager->Holds(); });
  return found == this->daemons.end() ? nullptr : &*found;
}

/// Returns a daemon that has held the lease and has seen no successor, whether its lease has expired or not.
const LeaseHarness::Daemon*
LeaseHarness::FindLatestHolder() const
{
  const auto found =
    std::find_if(this->daemons.begin(), this->daemons.end(), [](const Daemon& aDaemon) {
      return aDaemon.manager->Authorize(OrderKind::Load, true).has_value();
    });
  return found == this->daemons.end() ? nullptr : &*found;
}

/// Advances time to 1 ms before the end of the lease, so that orders sent now arrive close to their latest time.
void
LeaseHarness::AdvanceToLeaseEnd()
{
  const Daemon* holder = this->FindHolder();
  if (holder == nullptr) {
    return;
  }
  const auto grant = holder->manager->Authorize(OrderKind::Load, false);
  const auto left = grant.value().sendBy - this->clock.BootNow() - Milliseconds(1);
  if (left > Milliseconds::zero()) {
    this->AdvanceTime(std::chrono::duration_cast<Milliseconds>(left), false);
  }
}

/// Delivers the order that was sent last, so that orders can overtake each other.
void
LeaseHarness::DeliverNewestOrder()
{
  Daemon* newest = nullptr;
  for (Daemon& daemon : this->daemons) {
    const bool isNewer =
      daemon.order && (newest == nullptr || daemon.order->sentAt > newest->order->sentAt);
    newest = isNewer ? &daemon : newest;
  }
  if (newest != nullptr) {
    this->DeliverOrder(*newest);
  }
}

void
LeaseHarness::SendOrder(Daemon& aDaemon, int aArgument)
{
  const bool checked = aArgument % 2 == 0;
  const auto grant = aDaemon.manager->Authorize(OrderKind::Load, checked);
  if (!grant || aDaemon.order) {
    return;
  }
  const auto [owner, added] =
    this->runOfFencingNumber.try_emplace(grant.value().fencing, aDaemon.run);
  RC_ASSERT(owner->second == aDaemon.run);
  aDaemon.order = Order{ grant.value().fencing, this->clock.BootNow(), checked };
}

void
LeaseHarness::DeliverOrder(Daemon& aDaemon)
{
  if (!aDaemon.order) {
    return;
  }
  const Order order = *aDaemon.order;
  aDaemon.order.reset();
  if (order.checked) {
    // The engine refuses orders with a fencing number older than the highest it has received
    this->highestChecked = std::max(this->highestChecked, order.fencing);
    return;
  }
  RC_ASSERT(order.fencing >= this->highestUnchecked);
  this->highestUnchecked = order.fencing;
}

/// Advances time. Orders to an engine that does not check fencing numbers are delivered within the handover time.
void
LeaseHarness::AdvanceTime(Milliseconds aSpan, bool aSuspended)
{
  for (Daemon& daemon : this->daemons) {
    const bool due =
      daemon.order && !daemon.order->checked &&
      daemon.order->sentAt + this->settings.handover <= this->clock.BootNow() + aSpan;
    if (due) {
      this->DeliverOrder(daemon);
    }
  }
  if (aSuspended) {
    this->clock.Suspend(aSpan);
  } else {
    this->clock.Advance(aSpan);
  }
}

void
LeaseHarness::CheckHolders() const
{
  int holders = 0;
  for (const Daemon& daemon : this->daemons) {
    holders += daemon.manager->Holds() ? 1 : 0;
    // Two daemons that have read up to the same offset must agree on the leader
    for (const Daemon& other : this->daemons) {
      const bool comparable = daemon.manager->NextOffset() == other.manager->NextOffset() &&
                              !daemon.manager->Leader().empty() && !other.manager->Leader().empty();
      RC_ASSERT(!comparable || daemon.manager->Leader() == other.manager->Leader());
    }
  }
  RC_ASSERT(holders <= 1);
}

void
LeaseHarness::Run(const Operation& aOperation)
{
  Daemon& daemon = this->daemons[aOperation.actor];
  switch (aOperation.kind) {
    case 0:
      this->Step(daemon);
      break;
    case 1:
      this->Read(daemon);
      break;
    case 2:
      this->log.FailAppends({ kFaults[aOperation.argument % kFaults.size()] });
      this->Append(daemon);
      this->log.FailAppends({});
      break;
    case 3:
      this->log.StoreLateAppends();
      break;
    case 4:
      this->AdvanceTime(Milliseconds(4 * aOperation.argument * aOperation.argument), false);
      break;
    case 5:
      this->AdvanceTime(Milliseconds(8 * aOperation.argument * aOperation.argument), true);
      break;
    case 6:
      this->Restart(aOperation.actor);
      break;
    case 7:
      this->down = !this->down;
      this->log.SetDown(this->down);
      break;
    case 8: {
      const Offset end = this->log.End(this->stream);
      this->log.Truncate(this->stream, std::max<Offset>(0, end - aOperation.argument % 4));
      break;
    }
    case 9:
      this->SendOrder(daemon, aOperation.argument);
      break;
    case 10:
      this->DeliverOrder(daemon);
      break;
    case 11: {
      // With an odd argument the latest holder is paused during this step
      const Daemon* paused = aOperation.argument % 2 == 0 ? nullptr : this->FindLatestHolder();
      for (Daemon& each : this->daemons) {
        if (&each != paused) {
          this->Step(each);
        }
      }
      break;
    }
    case 12:
      this->AdvanceToLeaseEnd();
      break;
    case 13:
      if (Daemon* holder = this->FindHolder()) {
        this->SendOrder(*holder, aOperation.argument);
      }
      break;
    case 14:
      this->DeliverNewestOrder();
      break;
    default:
      daemon.manager->Resign();
      break;
  }
  this->CheckHolders();
}

void
LeaseHarness::Finish()
{
  // Once the log is available again, exactly one daemon must lead, even after a restart of all
  this->log.SetDown(false);
  this->log.FailAppends({});
  for (int actor = 0; actor < kActors; ++actor) {
    this->Restart(actor);
  }
  const Milliseconds longest = this->settings.duration + this->settings.handover;
  for (TimePoint end = this->clock.BootNow() + 3 * longest; this->clock.BootNow() < end;) {
    for (int actor = 0; actor < kActors; ++actor) {
      this->Run({ 0, actor, 0 });
    }
    this->AdvanceTime(Milliseconds(1'000), false);
  }
  int holders = 0;
  for (const Daemon& daemon : this->daemons) {
    holders += daemon.manager->Holds() ? 1 : 0;
  }
  RC_ASSERT(holders == 1);
}

} // namespace lagoonward::fuzz
