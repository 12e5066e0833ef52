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
MoveReservations::LatestCut(const std::string& aTarget, TimePoint aSafe,
                            TimePoint::duration aPrefill) const
{
  const auto found = this->firstCut.find(aTarget);
  return found == this->firstCut.end() ? aSafe : std::min(aSafe, found->second - aPrefill);
}

int
MoveReservations::PlannedOnto(const std::string& aTarget) const
{
  return ValueOr(this->planned, aTarget, 0);
}

void
MoveReservations::Reserve(const MovePlan& aPlan, const std::string& aSource)
{
  if (aPlan.target.empty()) {
    return;
  }
  ++this->planned[aPlan.target];
  if (aPlan.kind == MoveKind::ExportImport) {
    auto& source = this->sourceBusyUntil[aSource];
    source = std::max(source, aPlan.readyAt);
    auto& target = this->targetBusyUntil[aPlan.target];
    target = std::max(target, aPlan.readyAt);
    return;
  }
  const auto [found, added] = this->firstCut.try_emplace(aPlan.target, aPlan.startAt);
  if (!added) {
    found->second = std::min(found->second, aPlan.startAt);
  }
}

} // namespace lagoonward
