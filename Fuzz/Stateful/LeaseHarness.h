#pragma once

#include "Fuzz/Stateful/Harness.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Leadership/LeaseKeeper.h"
#include "UnitTests/Support/FakeLogService.h"

#include <array>
#include <map>
#include <memory>

namespace lagoonward::fuzz {

/// LeaseKeeper of three daemons over one log. The oracle: at most one holds the lease at any moment; an
/// engine that checks never obeys an older tenure after a newer one; nor does one that does not check,
/// while its orders arrive within the handover time; no two daemons share a fencing number.
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
    "look and order",
    "order arrives",
    "all step",
    "to the lease's end",
    "holder orders",
    "newest order arrives",
    "resign",
  };

  /// Faults are rare enough that tenures, pauses and orders meet between them.
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
    std::unique_ptr<LeaseKeeper> keeper;
    std::string run; ///< Names this run of it.
    std::optional<Order> order;
  };

  void Restart(int aActor);
  void Step(Daemon& aDaemon);
  [[nodiscard]] Daemon* Holder();
  [[nodiscard]] const Daemon* LastHolder() const;
  void PassToLeaseEnd();
  void ArriveNewest();
  void Read(Daemon& aDaemon);
  void Append(Daemon& aDaemon);
  void Look(Daemon& aDaemon, int aArgument);
  void Arrive(Daemon& aDaemon);
  void Pass(Milliseconds aSpan, bool aSuspended);
  void CheckHolders() const;

  VirtualClock clock;
  LeaseSettings settings;
  testing::FakeLogService log;
  std::string stream = LeaseStream("utslipp", "vestland");
  bool down = false;
  int runs = 0;
  std::array<Daemon, kActors> daemons;
  std::map<Offset, std::string> ownerOfNumber;
  Offset highestChecked = kNoOffset;
  Offset highestUnchecked = kNoOffset;
};

} // namespace lagoonward::fuzz
