#include "Lagoonward/Placement/DemandBook.h"

#include <cmath>

namespace lagoonward {

namespace {

/// Time constant of the averaged load, in seconds: single long prompts must not look like a change of load,
/// which shows within about three seconds.
constexpr double kAverageSeconds = 3;

} // namespace

DemandBook::DemandBook(Milliseconds aMemory, const Clock& aClock)
  : memory(aMemory)
  , clock(aClock)
{
}

void
DemandBook::OnTotals(std::uint64_t aRun, const EngineSeconds& aTotals)
{
  const TimePoint now = this->clock.Now();
  std::erase_if(this->runs,
                [&](const auto& aEntry) { return now - aEntry.second.heard > this->memory; });
  const auto known = this->runs.find(aRun);
  if (known == this->runs.end()) {
    this->runs[aRun] = Run{ now, aTotals, {} };
    return;
  }
  Run& run = known->second;
  const double seconds = ToSeconds(now - run.heard);
  if (seconds <= 0) {
    return;
  }
  // Weighed by the time that it covers, so that messages held up on the way show no burst when they come
  // together
  const double weight = 1 - std::exp(-seconds / kAverageSeconds);
  for (const auto& [service, total] : aTotals) {
    double& rate = run.rates[service];
    rate += weight * ((total - run.totals[service]) / seconds - rate);
  }
  run.totals = aTotals;
  run.heard = now;
}

double
DemandBook::LoadOf(const std::string& aService) const
{
  double load = 0;
  for (const auto& [key, run] : this->runs) {
    const auto rate = run.rates.find(aService);
    const bool lives = this->clock.Now() - run.heard <= this->memory;
    load += lives && rate != run.rates.end() ? rate->second : 0;
  }
  return load;
}

} // namespace lagoonward
