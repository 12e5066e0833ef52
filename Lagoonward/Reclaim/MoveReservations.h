#pragma once

#include "Lagoonward/Reclaim/MoveTypes.h"

#include <map>
#include <string>

namespace lagoonward {

/// Resources reserved by the moves of one plan: slots and prefill time of targets, and network
/// bandwidth of sources and targets. Exists for the duration of one call of the planner.
class MoveReservations
{
public:
  /// Earliest time at which both the source and the target can begin another transfer.
  [[nodiscard]] TimePoint EarliestTransfer(const std::string& aSource, const std::string& aTarget,
                                           TimePoint aNow) const;

  /// Latest time at which a stream may stop at its source so that its prefill ends before those
  /// already planned on the target begin. Not later than aLatestSafe; may lie in the past.
  [[nodiscard]] TimePoint LatestHandover(const std::string& aTarget, TimePoint aLatestSafe,
                                         TimePoint::duration aPrefill) const;

  /// Number of moves already planned to the target.
  [[nodiscard]] int PlannedMoves(const std::string& aTarget) const;

  /// Reserves the resources of a chosen plan.
  void Reserve(const MovePlan& aPlan, const std::string& aSource);

private:
  std::map<std::string, TimePoint> sourceBusyUntil;
  std::map<std::string, TimePoint> targetBusyUntil;
  std::map<std::string, TimePoint> earliestHandover; ///< Earliest planned handover to each target.
  std::map<std::string, int> plannedMoves;
};

} // namespace lagoonward
