#include "Lagoonward/Metering/UsageAccumulator.h"

#include <algorithm>

namespace lagoonward {

UsageAccumulator::UsageAccumulator(const UsageAccumulatorSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
UsageAccumulator::OnCounts(std::uint64_t aRun, const UsageByWindow& aCounts, Milliseconds aAge)
{
  Run& run = this->runs[aRun];
  run.lastReceived = std::max(run.lastReceived, this->clock.Now() - aAge);
  for (const auto& [window, counts] : aCounts) {
    UsageCounts& recorded = run.windows[window];
    for (const auto& [account, count] : counts) {
      std::int64_t& maximum = recorded[account];
      maximum = std::max(maximum, count);
    }
  }
}

UsageCounts
UsageAccumulator::TotalOf(std::int64_t aWindow) const
{
  UsageCounts total;
  for (const auto& [key, run] : this->runs) {
    const auto found = run.windows.find(aWindow);
    if (found == run.windows.end()) {
      continue;
    }
    for (const auto& [account, count] : found->second) {
      total[account] += count;
    }
  }
  return total;
}

UsageByWindow
UsageAccumulator::Totals() const
{
  UsageByWindow totals;
  for (const auto& [key, run] : this->runs) {
    for (const auto& [window, counts] : run.windows) {
      UsageCounts& total = totals[window];
      for (const auto& [account, count] : counts) {
        total[account] += count;
      }
    }
  }
  return totals;
}

Milliseconds
UsageAccumulator::OldestAge() const
{
  Milliseconds oldest{ 0 };
  for (const auto& [key, run] : this->runs) {
    const auto age = std::chrono::floor<Milliseconds>(this->clock.Now() - run.lastReceived);
    oldest = age <= this->settings.silenceTimeout ? std::max(oldest, age) : oldest;
  }
  return oldest;
}

bool
UsageAccumulator::IsDue(Milliseconds aSinceEnd) const
{
  if (aSinceEnd < this->settings.settleDelay || aSinceEnd > this->settings.maximumAge) {
    return false;
  }
  if (aSinceEnd >= this->settings.reportTimeout) {
    return true;
  }
  // Due earlier if every live daemon has sent its counts since the end of the window
  const TimePoint now = this->clock.Now();
  const TimePoint settled = now - aSinceEnd + this->settings.settleDelay / 2;
  return std::all_of(this->runs.begin(), this->runs.end(), [&](const auto& aRun) {
    const TimePoint lastReceived = aRun.second.lastReceived;
    return lastReceived >= settled || now - lastReceived > this->settings.silenceTimeout;
  });
}

void
UsageAccumulator::EvictBefore(std::int64_t aBefore)
{
  for (auto& [key, run] : this->runs) {
    std::erase_if(run.windows, [&](const auto& aEntry) { return aEntry.first < aBefore; });
  }
  std::erase_if(this->runs, [&](const auto& aRun) {
    return aRun.second.windows.empty() &&
           this->clock.Now() - aRun.second.lastReceived > this->settings.maximumAge;
  });
}

} // namespace lagoonward
