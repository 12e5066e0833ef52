#pragma once

#include "Fuzz/Stateful/Harness.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Reclaim/MovePlanner.h"

#include <array>
#include <string>

namespace lagoonward::fuzz {

/// Tests MovePlanner on a small fleet that loses endpoints and domains. The oracle checks that no stream moves to an
/// endpoint that is leaving, full, not a candidate or the stream's own; that a stream is left unplaced only if no
/// candidate has room for it; that an export ends before its endpoint terminates; that the plan does not depend on the
/// order of the input; and that all streams end once no more hosts leave.
class ReclaimHarness
{
public:
  static constexpr std::string_view kName = "reclaim and moves";
  static constexpr std::array<std::string_view, 8> kOperations{
    "add stream", "notice to a host", "notice to a domain",     "host crashes",
    "new host",   "advance time",     "plan and execute moves", "plan, then crash",
  };

  ReclaimHarness();
  void Run(const Operation& aOperation);
  void Finish();

private:
  struct Host
  {
    MoveTarget target;
    int domain = 0;
    TimePoint availableUntil = TimePoint::max();
  };

  void AddHost(int aDomain);
  void AddStream(const Operation& aOperation);
  void GiveNotice(Host& aHost, Milliseconds aGrace);
  void Advance(Milliseconds aSpan);
  [[nodiscard]] std::vector<MovePlan> Plan();
  void CheckPlan(const StreamView& aStream, const MovePlan& aPlan) const;
  void ExecuteMoves(const std::vector<MovePlan>& aPlans);
  [[nodiscard]] Host* Find(const std::string& aEndpoint);
  [[nodiscard]] const Host* Find(const std::string& aEndpoint) const;
  [[nodiscard]] int RunningStreams(const std::string& aEndpoint) const;
  [[nodiscard]] std::vector<MoveTarget> Targets() const;
  [[nodiscard]] std::vector<StreamView> LeavingStreams() const;

  static constexpr int kSlots = 6;

  VirtualClock clock;
  ReclaimSettings settings;
  MovePlanner planner{ settings };
  std::vector<Host> hosts;
  std::vector<StreamView> streams;
  int nextName = 0; ///< Number for the name of the next host or stream.
};

} // namespace lagoonward::fuzz
