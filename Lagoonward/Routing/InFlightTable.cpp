#include "Lagoonward/Routing/InFlightTable.h"

namespace lagoonward {

InFlightTable::InFlightTable(Milliseconds aRetention, const Clock& aClock)
  : retention(aRetention)
  , clock(aClock)
{
}

void
InFlightTable::OnCounts(std::uint64_t aRun, InFlightCounts aCounts)
{
  RunCounts& run = this->runs[aRun];
  this->Add(run.counts, -1);
  run = { this->clock.Now(), std::move(aCounts) };
  this->Add(run.counts, 1);
}

void
InFlightTable::Add(const InFlightCounts& aCounts, int aSign)
{
  for (const auto& [endpoint, count] : aCounts) {
    const auto sum = this->sums.try_emplace(endpoint, 0).first;
    sum->second += aSign * count;
    if (sum->second == 0) {
      this->sums.erase(sum);
    }
  }
}

void
InFlightTable::ExpireSilentRuns()
{
  const TimePoint now = this->clock.Now();
  for (auto run = this->runs.begin(); run != this->runs.end();) {
    if (now - run->second.receivedAt <= this->retention) {
      ++run;
      continue;
    }
    this->Add(run->second.counts, -1);
    run = this->runs.erase(run);
  }
}

InFlightCounts
InFlightTable::SumOfOthers(std::uint64_t aRun)
{
  this->ExpireSilentRuns();
  const auto own = this->runs.find(aRun);
  return this->SumExcluding(own == this->runs.end() ? InFlightCounts{} : own->second.counts);
}

InFlightCounts
InFlightTable::Sum()
{
  this->ExpireSilentRuns();
  return this->SumExcluding({});
}

InFlightCounts
InFlightTable::SumExcluding(const InFlightCounts& aCounts) const
{
  std::map<std::uint64_t, std::int32_t> excluded;
  for (const auto& [endpoint, count] : aCounts) {
    excluded[endpoint] += count;
  }
  InFlightCounts result;
  result.reserve(this->sums.size());
  for (const auto& [endpoint, sum] : this->sums) {
    const auto own = excluded.find(endpoint);
    const std::int32_t remaining = own == excluded.end() ? sum : sum - own->second;
    if (remaining != 0) {
      result.emplace_back(endpoint, remaining);
    }
  }
  return result;
}

} // namespace lagoonward
