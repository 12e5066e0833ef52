#pragma once

#include "Fuzz/Stateful/Harness.h"
#include "Lagoonward/Claims/ClaimBatcher.h"
#include "Lagoonward/Claims/ClaimTicket.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "UnitTests/Support/FakeLogService.h"

#include <array>
#include <map>
#include <memory>

namespace lagoonward::fuzz {

/// Tests ClaimBatcher and ClaimTicket of three daemons over one log. The oracle checks that a key runs at most once,
/// that a submission refused as not run never runs, and that each claim is answered exactly once.
class ClaimHarness
{
public:
  static constexpr std::string_view kName = "claim and dispatch";
  static constexpr std::array<std::string_view, 11> kOperations{
    "submit",        "step",           "step, append faulty", "deliver late appends",
    "advance time",  "suspend",        "crash and restart",   "log down or up",
    "dispatch next", "give up oldest", "log unreadable",
  };

  ClaimHarness();
  void Run(const Operation& aOperation);
  void Finish();

private:
  /// One submission at one daemon.
  struct Submission
  {
    int key = 0;
    std::shared_ptr<ClaimTicket> ticket;
    int answers = 0;
    bool won = false;
    bool refused = false;
    bool ran = false;
  };

  /// One daemon. A crash discards its batcher and its submissions.
  struct Daemon
  {
    std::string run;
    std::uint64_t sequence = 0;
    std::unique_ptr<ClaimBatcher> batcher;
    std::vector<std::shared_ptr<Submission>> submissions;
  };

  void Restart(int aActor);
  void Submit(Daemon& aDaemon, int aKey);
  void Dispatch(Daemon& aDaemon);
  void CancelOldest(Daemon& aDaemon);

  static constexpr int kKeys = 2;

  VirtualClock clock;
  ClaimSettings settings;
  testing::FakeLogService log;
  std::string stream = "claims/vestland/0";
  bool down = false;
  bool unreadable = false;
  int runs = 0;
  std::array<Daemon, kActors> daemons;
  std::map<int, int> dispatches; ///< Number of dispatches by key.
};

} // namespace lagoonward::fuzz
