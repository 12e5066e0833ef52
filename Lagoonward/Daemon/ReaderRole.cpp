#include "Lagoonward/Daemon/ReaderRole.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Ranks that have the shortest staleness limit: the primary and the standby reader.
constexpr int kReaderRanks = 2;

} // namespace

ReaderRole::ReaderRole(const ReaderRoleSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
  , suppliedAsOf(aClock.BootNow())
{
}

void
ReaderRole::SetRank(int aRank, int aAggregators)
{
  this->rank = aRank;
  this->aggregators = aAggregators;
}

void
ReaderRole::OnUpdate(TimePoint aAsOf, int aReaderRank)
{
  if (aReaderRank < this->rank) {
    this->suppliedAsOf = std::max(this->suppliedAsOf.load(), aAsOf);
  }
}

bool
ReaderRole::ReadsForOthers() const
{
  return this->rank == 0 || (this->IsAggregator() && this->SuppliedAge() > this->StalenessLimit());
}

Milliseconds
ReaderRole::StalenessLimit() const
{
  const int ownRank = this->rank;
  const int count = this->aggregators;
  if (ownRank >= count) {
    return this->settings.readerStalenessLimit + 2 * this->settings.stalenessLimitStep;
  }
  const int steps = ownRank < kReaderRanks ? 0 : ownRank;
  return this->settings.readerStalenessLimit + this->settings.stalenessLimitStep * steps / count;
}

Milliseconds
ReaderRole::SuppliedAge() const
{
  return std::chrono::ceil<Milliseconds>(this->clock.BootNow() - this->suppliedAsOf.load());
}

} // namespace lagoonward
