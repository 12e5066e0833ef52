#include "Lagoonward/Placement/DemandBook.h"

namespace lagoonward {

namespace {

/// Weight of the newest message in the averaged load. Messages come twice a second; single long prompts
/// must not look like a change of load, which shows within about three seconds.
constexpr double kNewestWeight = 0.15;

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
  const double seconds = std::chrono::duration<double>(now - run.heard).count();
  if (seconds <= 0) {
    return;
  }
  for (const auto& [service, total] : aTotals) {
    double& rate = run.rates[service];
    rate += kNewestWeight * ((total - run.totals[service]) / seconds - rate);
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
