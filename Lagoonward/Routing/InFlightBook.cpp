#include "Lagoonward/Routing/InFlightBook.h"

namespace lagoonward {

InFlightBook::InFlightBook(Milliseconds aMemory, const Clock& aClock)
  : memory(aMemory)
  , clock(aClock)
{
}

void
InFlightBook::OnCounts(std::uint64_t aRun, InFlightCounts aCounts)
{
  this->runs[aRun] = { this->clock.Now(), std::move(aCounts) };
}

InFlightCounts
InFlightBook::SumOfOthers(std::uint64_t aRun)
{
  const TimePoint now = this->clock.Now();
  std::erase_if(this->runs,
                [&](const auto& aEntry) { return now - aEntry.second.heard > this->memory; });
  std::map<std::uint64_t, std::int32_t> sums;
  for (const auto& [run, told] : this->runs) {
    if (run == aRun) {
      continue;
    }
    for (const auto& [endpoint, count] : told.counts) {
      sums[endpoint] += count;
    }
  }
  return { sums.begin(), sums.end() };
}

} // namespace lagoonward
