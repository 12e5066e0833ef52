#include "Bench/Decisions/Bound.h"

#include "Bench/Decisions/Workload.h"

#include <algorithm>
#include <unordered_set>

namespace lagoonward::bench {

namespace {

constexpr double kSecondsPerHour = 3600;
constexpr int kBlockTokens = 64;

/// Work of a whole run.
struct Work
{
  double prefillTokens = 0;
  std::vector<double> outputTokens; ///< By class.
};

/// A span of one host's time at one price.
struct HostTime
{
  double seconds = 0;
  double pricePerSecond = 0;
  double workSeconds = 0; ///< Time that this host would need for all the work.

  [[nodiscard]] double Price() const { return this->pricePerSecond * this->workSeconds; }
};

Work
SumWork(const std::vector<WorkItem>& aItems, std::size_t aClasses)
{
  Work work;
  work.outputTokens.resize(aClasses);
  std::unordered_set<std::uint64_t> seen;
  for (const WorkItem& item : aItems) {
    work.outputTokens[item.classIndex] += item.outputTokens;
    work.prefillTokens += item.promptTokens % kBlockTokens;
    for (const std::uint64_t block : item.blocks) {
      work.prefillTokens += seen.insert(block).second ? kBlockTokens : 0;
    }
  }
  return work;
}

double
SecondsFor(const Work& aWork, const EngineSpec& aSpec, const Manifest& aManifest)
{
  double seconds = aWork.prefillTokens / aSpec.prefillTokensPerSecond;
  for (std::size_t index = 0; index < aWork.outputTokens.size(); ++index) {
    const std::chrono::duration<double> target(aManifest.classes[index].betweenTokens);
    const double batch =
      std::clamp((target.count() - aSpec.stepBaseSeconds) / aSpec.stepPerSequenceSeconds, 1.0,
                 static_cast<double>(aSpec.sequences));
    const double perToken = aSpec.stepBaseSeconds / batch + aSpec.stepPerSequenceSeconds;
    seconds += aWork.outputTokens[index] * perToken;
  }
  return seconds;
}

/// Cuts one host's time where its price changes or its domain goes.
void
AddHostTimes(const EngineSpec& aSpec, const Scenario& aScenario, double aLength,
             double aWorkSeconds, std::vector<HostTime>& aTimes)
{
  double from = 0;
  double factor = 1;
  double end = aLength;
  for (const ReclaimEvent& reclaim : aScenario.reclaims) {
    if (reclaim.failureDomain == aSpec.failureDomain) {
      end = std::min(end, reclaim.at + reclaim.grace);
    }
  }
  for (const PriceEvent& change : aScenario.prices) {
    if (change.failureDomain == aSpec.failureDomain && change.at < end) {
      aTimes.push_back(
        { change.at - from, aSpec.pricePerHour * factor / kSecondsPerHour, aWorkSeconds });
      from = change.at;
      factor = change.factor;
    }
  }
  aTimes.push_back({ end - from, aSpec.pricePerHour * factor / kSecondsPerHour, aWorkSeconds });
}

} // namespace

RunResult
ComputeBound(const Deployment& aDeployment, const Scenario& aScenario, const Tuning& /*aTuning*/,
             std::uint64_t aSeed)
{
  const auto items = MakeWorkload(aDeployment, aScenario, aSeed);
  const Work work = SumWork(items, aDeployment.manifest.classes.size());

  // Replacements of reclaimed hosts count as if they had always stood where they were cheapest
  std::vector<HostTime> times;
  for (const EngineSpec& spec : aDeployment.engines) {
    const double seconds = SecondsFor(work, spec, aDeployment.manifest);
    AddHostTimes(spec, aScenario, aDeployment.seconds, seconds, times);
  }
  std::sort(times.begin(), times.end(), [](const HostTime& aLeft, const HostTime& aRight) {
    return aLeft.Price() < aRight.Price();
  });
  double left = 1;
  double cost = 0;
  for (const HostTime& time : times) {
    const double part = std::min(left, time.seconds / time.workSeconds);
    cost += part * time.Price();
    left -= part;
  }

  RunResult result;
  result.deployment = aDeployment.name;
  result.scenario = aScenario.name;
  result.policy = "bound";
  result.seed = aSeed;
  result.scale = aDeployment.scale;
  result.offered = result.accepted = result.answeredWhole = static_cast<int>(items.size());
  for (const double tokens : work.outputTokens) {
    result.tokensGenerated += static_cast<std::int64_t>(tokens);
  }

  // What does not fit into the hosts' time at all is not served
  result.tokensAtTarget =
    static_cast<std::int64_t>(static_cast<double>(result.tokensGenerated) * (1 - left));
  result.cost = cost;
  for (const ManifestClass& each : aDeployment.manifest.classes) {
    result.classes.push_back({ each.name });
  }
  for (const WorkItem& item : items) {
    ClassResult& each = result.classes[item.classIndex];
    each.offered++;
    each.accepted++;
    each.met++;
  }
  return result;
}

} // namespace lagoonward::bench
