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
  daemon.keeper = std::make_unique<LeaseKeeper>(this->settings, this->clock,
                                                "d-" + std::to_string(aActor), daemon.run);
  daemon.keeper->SetRank(aActor);
}

void
LeaseHarness::Read(Daemon& aDaemon)
{
  const auto page =
    this->log.Read(this->stream, aDaemon.keeper->NextOffset(), kPageLimit, Milliseconds(0));
  if (page) {
    aDaemon.keeper->ObservePage(page.value());
  }
}

void
LeaseHarness::Append(Daemon& aDaemon)
{
  if (const auto record = aDaemon.keeper->NextAppend()) {
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
LeaseHarness::Holder()
{
  const auto found = std::find_if(this->daemons.begin(), this->daemons.end(),
                                  [](const Daemon& aDaemon) { return aDaemon.keeper->Holds(); });
  return found == this->daemons.end() ? nullptr : &*found;
}

/// A daemon that has led and has seen no successor, its lease lapsed or not.
const LeaseHarness::Daemon*
LeaseHarness::LastHolder() const
{
  const auto found =
    std::find_if(this->daemons.begin(), this->daemons.end(), [](const Daemon& aDaemon) {
      return aDaemon.keeper->Authorize(OrderKind::Load, true).has_value();
    });
  return found == this->daemons.end() ? nullptr : &*found;
}

/// The last moment of the lease, where orders are about to be late.
void
LeaseHarness::PassToLeaseEnd()
{
  const Daemon* holder = this->Holder();
  if (holder == nullptr) {
    return;
  }
  const auto grant = holder->keeper->Authorize(OrderKind::Load, false);
  const auto left = grant.value().sendBy - this->clock.BootNow() - Milliseconds(1);
  if (left > Milliseconds::zero()) {
    this->Pass(std::chrono::duration_cast<Milliseconds>(left), false);
  }
}

/// Orders may overtake each other.
void
LeaseHarness::ArriveNewest()
{
  Daemon* newest = nullptr;
  for (Daemon& daemon : this->daemons) {
    const bool later =
      daemon.order && (newest == nullptr || daemon.order->sentAt > newest->order->sentAt);
    newest = later ? &daemon : newest;
  }
  if (newest != nullptr) {
    this->Arrive(*newest);
  }
}

void
LeaseHarness::Look(Daemon& aDaemon, int aArgument)
{
  const bool checked = aArgument % 2 == 0;
  const auto grant = aDaemon.keeper->Authorize(OrderKind::Load, checked);
  if (!grant || aDaemon.order) {
    return;
  }
  const auto [owner, added] = this->ownerOfNumber.try_emplace(grant.value().fencing, aDaemon.run);
  RC_ASSERT(owner->second == aDaemon.run);
  aDaemon.order = Order{ grant.value().fencing, this->clock.BootNow(), checked };
}

void
LeaseHarness::Arrive(Daemon& aDaemon)
{
  if (!aDaemon.order) {
    return;
  }
  const Order order = *aDaemon.order;
  aDaemon.order.reset();
  if (order.checked) {
    // The engine refuses what is older than what it has
    this->highestChecked = std::max(this->highestChecked, order.fencing);
    return;
  }
  RC_ASSERT(order.fencing >= this->highestUnchecked);
  this->highestUnchecked = order.fencing;
}

/// Lets time pass. Orders to an engine that does not check arrive within the handover time.
void
LeaseHarness::Pass(Milliseconds aSpan, bool aSuspended)
{
  for (Daemon& daemon : this->daemons) {
    const bool due =
      daemon.order && !daemon.order->checked &&
      daemon.order->sentAt + this->settings.handover <= this->clock.BootNow() + aSpan;
    if (due) {
      this->Arrive(daemon);
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
    holders += daemon.keeper->Holds() ? 1 : 0;
    // Two daemons that read equally far agree
    for (const Daemon& other : this->daemons) {
      const bool comparable = daemon.keeper->NextOffset() == other.keeper->NextOffset() &&
                              !daemon.keeper->Leader().empty() && !other.keeper->Leader().empty();
      RC_ASSERT(!comparable || daemon.keeper->Leader() == other.keeper->Leader());
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
      this->log.DeliverLate();
      break;
    case 4:
      this->Pass(Milliseconds(4 * aOperation.argument * aOperation.argument), false);
      break;
    case 5:
      this->Pass(Milliseconds(8 * aOperation.argument * aOperation.argument), true);
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
      this->Look(daemon, aOperation.argument);
      break;
    case 10:
      this->Arrive(daemon);
      break;
    case 11: {
      // With an odd argument the holder is paused meanwhile
      const Daemon* paused = aOperation.argument % 2 == 0 ? nullptr : this->LastHolder();
      for (Daemon& each : this->daemons) {
        if (&each != paused) {
          this->Step(each);
        }
      }
      break;
    }
    case 12:
      this->PassToLeaseEnd();
      break;
    case 13:
      if (Daemon* holder = this->Holder()) {
        this->Look(*holder, aOperation.argument);
      }
      break;
    case 14:
      this->ArriveNewest();
      break;
    default:
      daemon.keeper->Resign();
      break;
  }
  this->CheckHolders();
}

void
LeaseHarness::Finish()
{
  // With the log back, some daemon leads in the end, even if all had to begin anew
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
    this->Pass(Milliseconds(1'000), false);
  }
  int holders = 0;
  for (const Daemon& daemon : this->daemons) {
    holders += daemon.keeper->Holds() ? 1 : 0;
  }
  RC_ASSERT(holders == 1);
}

} // namespace lagoonward::fuzz
