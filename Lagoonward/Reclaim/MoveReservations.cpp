#include "Lagoonward/Reclaim/MoveReservations.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// The value of aKey, or aDefault.
template<typename Value>
Value
ValueOr(const std::map<std::string, Value>& aMap, const std::string& aKey, Value aDefault)
{
  const auto found = aMap.find(aKey);
  return found == aMap.end() ? aDefault : found->second;
}

} // namespace

TimePoint
MoveReservations::EarliestTransfer(const std::string& aSource, const std::string& aTarget,
                                   TimePoint aNow) const
{
  return std::max({ aNow, ValueOr(this->sourceBusyUntil, aSource, aNow),
                    ValueOr(this->targetBusyUntil, aTarget, aNow) });
}

TimePoint
MoveReservations::LatestHandover(const std::string& aTarget, TimePoint aLatestSafe,
                                 TimePoint::duration aPrefill) const
{
  const auto found = this->earliestHandover.find(aTarget);
  return found == this->earliestHandover.end() ? aLatestSafe
                                               : std::min(aLatestSafe, found->second - aPrefill);
}

int
MoveReservations::PlannedMoves(const std::string& aTarget) const
{
  return ValueOr(this->plannedMoves, aTarget, 0);
}

void
MoveReservations::Reserve(const MovePlan& aPlan, const std::string& aSource)
{
  if (aPlan.target.empty()) {
    return;
  }
  ++this->plannedMoves[aPlan.target];
  if (aPlan.kind == MoveKind::ExportImport) {
    auto& source = this->sourceBusyUntil[aSource];
    source = std::max(source, aPlan.readyAt);
    auto& target = this->targetBusyUntil[aPlan.target];
    target = std::max(target, aPlan.readyAt);
    return;
  }
  const auto [found, added] = this->earliestHandover.try_emplace(aPlan.target, aPlan.startAt);
  if (!added) {
    found->second = std::min(found->second, aPlan.startAt);
  }
}

} // namespace lagoonward
