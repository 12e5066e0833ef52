#include "Lagoonward/Metering/UsageBook.h"

#include <algorithm>

namespace lagoonward {

UsageBook::UsageBook(const UsageBookSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
UsageBook::OnCounts(std::uint64_t aRun, const UsageByWindow& aCounts, Milliseconds aAge)
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
UsageBook::TotalOf(std::int64_t aWindow) const
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
UsageBook::Totals() const
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
UsageBook::Age() const
{
  Milliseconds oldest{ 0 };
  for (const auto& [key, run] : this->runs) {
    const auto age = std::chrono::floor<Milliseconds>(this->clock.Now() - run.lastReceived);
    oldest = age <= this->settings.silence ? std::max(oldest, age) : oldest;
  }
  return oldest;
}

bool
UsageBook::IsDue(Milliseconds aSinceEnd) const
{
  if (aSinceEnd < this->settings.settle || aSinceEnd > this->settings.oldest) {
    return false;
  }
  if (aSinceEnd >= this->settings.patience) {
    return true;
  }
  // Due earlier if every live daemon has sent its counts since the end of the window
  const TimePoint now = this->clock.Now();
  const TimePoint settled = now - aSinceEnd + this->settings.settle / 2;
  return std::all_of(this->runs.begin(), this->runs.end(), [&](const auto& aRun) {
    const TimePoint lastReceived = aRun.second.lastReceived;
    return lastReceived >= settled || now - lastReceived > this->settings.silence;
  });
}

void
UsageBook::Forget(std::int64_t aBefore)
{
  for (auto& [key, run] : this->runs) {
    std::erase_if(run.windows, [&](const auto& aEntry) { return aEntry.first < aBefore; });
  }
  std::erase_if(this->runs, [&](const auto& aRun) {
    return aRun.second.windows.empty() &&
           this->clock.Now() - aRun.second.lastReceived > this->settings.oldest;
  });
}

} // namespace lagoonward
