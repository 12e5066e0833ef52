#pragma once

#include "Lagoonward/Reclaim/MoveTypes.h"

#include <map>
#include <string>

namespace lagoonward {

/// What the moves of one plan have already taken: slots and prefill time of targets, and the
/// network of both ends. Lives for one call of the planner.
class MoveReservations
{
public:
  /// Earliest moment at which the source and the target are both free for one more transfer.
  [[nodiscard]] TimePoint EarliestTransfer(const std::string& aSource, const std::string& aTarget,
                                           TimePoint aNow) const;

  /// Latest moment at which a stream may stop at its source so that its prefill ends before those
  /// already planned on the target begin. Not later than aSafe; may lie in the past.
  [[nodiscard]] TimePoint LatestCut(const std::string& aTarget, TimePoint aSafe,
                                    TimePoint::duration aPrefill) const;

  /// Moves already planned onto the target.
  [[nodiscard]] int PlannedOnto(const std::string& aTarget) const;

  /// Takes what a chosen plan needs.
  void Reserve(const MovePlan& aPlan, const std::string& aSource);

private:
  std::map<std::string, TimePoint> sourceBusyUntil;
  std::map<std::string, TimePoint> targetBusyUntil;
  std::map<std::string, TimePoint> firstCut; ///< Earliest planned cut of each target.
  std::map<std::string, int> planned;
};

} // namespace lagoonward
