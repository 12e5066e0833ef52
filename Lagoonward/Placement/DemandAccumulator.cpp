#include "Lagoonward/Placement/DemandAccumulator.h"

#include <cmath>

namespace lagoonward {

namespace {

/// Time constant in seconds of the exponentially weighted average. It is long enough that a single long prompt does
/// not look like a change of load; a real change shows within about three seconds.
constexpr double kAverageSeconds = 3;

} // namespace

DemandAccumulator::DemandAccumulator(Milliseconds aRetention, const Clock& aClock)
  : retention(aRetention)
  , clock(aClock)
{
}

void
DemandAccumulator::OnTotals(std::uint64_t aRun, const WorkByService& aTotals)
{
  const TimePoint now = this->clock.Now();
  std::erase_if(this->runs, [&](const auto& aEntry) {
    return now - aEntry.second.receivedAt > this->retention;
  });
  const auto known = this->runs.find(aRun);
  if (known == this->runs.end()) {
    this->runs[aRun] = Run{ now, aTotals, {} };
    return;
  }
  Run& run = known->second;
  const double seconds = ToSeconds(now - run.receivedAt);
  if (seconds <= 0) {
    return;
  }
  // Weighted by the time that the message covers, so that delayed messages arriving together do not look like a burst
  const double weight = 1 - std::exp(-seconds / kAverageSeconds);
  for (const auto& [service, total] : aTotals) {
    EngineWork& rate = run.rates[service];
    rate += ((total - run.totals[service]) * (1 / seconds) - rate) * weight;
  }
  run.totals = aTotals;
  run.receivedAt = now;
}

EngineWork
DemandAccumulator::RateOf(const std::string& aService) const
{
  const WorkByService rates = this->Rates();
  const auto found = rates.find(aService);
  return found == rates.end() ? EngineWork{} : found->second;
}

WorkByService
DemandAccumulator::Rates() const
{
  WorkByService sums;
  for (const auto& [key, run] : this->runs) {
    if (this->clock.Now() - run.receivedAt > this->retention) {
      continue;
    }
    for (const auto& [service, rate] : run.rates) {
      sums[service] += rate;
    }
  }
  return sums;
}

} // namespace lagoonward
