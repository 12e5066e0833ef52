#pragma once

#include "Fuzz/Stateful/Harness.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Reclaim/MovePlanner.h"

#include <array>
#include <string>

namespace lagoonward::fuzz {

/// MovePlanner over a small fleet that loses endpoints and domains. The oracle: nothing moves to an
/// endpoint that is going, full, not a candidate or the stream's own; a stream is left unplaced only if
/// no candidate could take it; an export ends before its endpoint goes; the same input gives the same
/// plan in any order; streams always end once hosts stop going.
class ReclaimHarness
{
public:
  static constexpr std::string_view kName = "reclaim and moves";
  static constexpr std::array<std::string_view, 8> kOperations{
    "add stream", "notice to a host", "notice to a domain", "host dies",
    "new host",   "advance time",     "plan and act",       "plan, then crash",
  };

  ReclaimHarness();
  void Run(const Operation& aOperation);
  void Finish();

private:
  struct Host
  {
    MoveTarget target;
    int domain = 0;
    TimePoint goneAfter = TimePoint::max();
  };

  void AddHost(int aDomain);
  void AddStream(const Operation& aOperation);
  void Leave(Host& aHost, Milliseconds aGrace);
  void Advance(Milliseconds aSpan);
  [[nodiscard]] std::vector<MovePlan> Plan();
  void CheckPlan(const StreamView& aStream, const MovePlan& aPlan) const;
  void Act(const std::vector<MovePlan>& aPlans);
  [[nodiscard]] Host* Find(const std::string& aEndpoint);
  [[nodiscard]] const Host* Find(const std::string& aEndpoint) const;
  [[nodiscard]] int Running(const std::string& aEndpoint) const;
  [[nodiscard]] std::vector<MoveTarget> Targets() const;
  [[nodiscard]] std::vector<StreamView> Leaving() const;

  static constexpr int kSlots = 6;

  VirtualClock clock;
  ReclaimSettings settings;
  MovePlanner planner{ settings };
  std::vector<Host> hosts;
  std::vector<StreamView> streams;
  int named = 0; ///< Hosts and streams so far.
};

} // namespace lagoonward::fuzz
