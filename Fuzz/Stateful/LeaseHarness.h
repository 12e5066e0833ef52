#pragma once

#include "Fuzz/Stateful/Harness.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Leadership/LeaseManager.h"
#include "UnitTests/Support/FakeLogService.h"

#include <array>
#include <map>
#include <memory>

namespace lagoonward::fuzz {

/// Tests LeaseManager of three daemons over one log. The oracle checks that at most one daemon holds the lease at any
/// moment; that an engine that checks fencing numbers never executes an order of an older tenure after one of a newer
/// tenure; that the same is true for an engine that does not check them, as long as orders arrive within the handover
/// time; and that no two daemons have the same fencing number.
class LeaseHarness
{
public:
  static constexpr std::string_view kName = "lease, pause and fencing";
  static constexpr std::array<std::string_view, 16> kOperations{
    "step",
    "read",
    "append, faulty",
    "deliver late appends",
    "advance time",
    "suspend",
    "restart",
    "log down or up",
    "drop records",
    "authorize and send order",
    "order arrives",
    "all step",
    "advance to the lease's end",
    "holder sends order",
    "newest order arrives",
    "resign",
  };

  /// Faults are rare enough that tenures, pauses and orders coincide between them.
  static constexpr std::array<int, 16> kWeights{ 6, 3, 2, 2, 4, 3, 1, 1, 1, 8, 4, 2, 6, 6, 6, 1 };

  LeaseHarness();
  void Run(const Operation& aOperation);
  void Finish();

private:
  /// An order that was sent and has not arrived.
  struct Order
  {
    Offset fencing = kNoOffset;
    TimePoint sentAt;
    bool checked = true;
  };

  /// One daemon.
  struct Daemon
  {
    std::unique_ptr<LeaseManager> manager;
    std::string run; ///< Unique name of this run of the daemon.
    std::optional<Order> order;
  };

  void Restart(int aActor);
  void Step(Daemon& aDaemon);
  [[nodiscard]] Daemon* FindHolder();
  [[nodiscard]] const Daemon* FindLatestHolder() const;
  void AdvanceToLeaseEnd();
  void DeliverNewestOrder();
  void Read(Daemon& aDaemon);
  void Append(Daemon& aDaemon);
  void SendOrder(Daemon& aDaemon, int aArgument);
  void DeliverOrder(Daemon& aDaemon);
  void AdvanceTime(Milliseconds aSpan, bool aSuspended);
  void CheckHolders() const;

  VirtualClock clock;
  LeaseSettings settings;
  testing::FakeLogService log;
  std::string stream = LeaseStreamName("utslipp", "vestland");
  bool down = false;
  int runs = 0;
  std::array<Daemon, kActors> daemons;
  std::map<Offset, std::string> runOfFencingNumber;
  Offset highestChecked = kNoOffset;
  Offset highestUnchecked = kNoOffset;
};

} // namespace lagoonward::fuzz
