#include "Bench/Decisions/Bound.h"

#include "Bench/Decisions/Workload.h"

#include <algorithm>
#include <unordered_set>

namespace lagoonward::bench {

namespace {

constexpr double kSecondsPerHour = 3600;
constexpr int kBlockTokens = 64;

/// Total work of a run, in tokens.
struct TotalWork
{
  double prefillTokens = 0;
  std::vector<double> outputTokens; ///< By class.
};

/// A time span of one host at a constant price.
struct HostTime
{
  double seconds = 0;
  double pricePerSecond = 0;
  double workSeconds = 0; ///< Time that this host would need for the total work.

  [[nodiscard]] double Price() const { return this->pricePerSecond * this->workSeconds; }
};

TotalWork
SumWork(const std::vector<WorkItem>& aItems, std::size_t aClasses)
{
  TotalWork work;
  work.outputTokens.resize(aClasses);
  std::unordered_set<std::uint64_t> seenBlocks;
  for (const WorkItem& item : aItems) {
    work.outputTokens[item.classIndex] += item.outputTokens;
    work.prefillTokens += item.promptTokens % kBlockTokens;
    for (const std::uint64_t block : item.blocks) {
      work.prefillTokens += seenBlocks.insert(block).second ? kBlockTokens : 0;
    }
  }
  return work;
}

double
ProcessingSeconds(const TotalWork& aWork, const EngineSpec& aSpec, const Manifest& aManifest)
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

/// Splits the time of one host at price changes and ends it at the reclaim of its domain.
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
  const TotalWork work = SumWork(items, aDeployment.manifest.classes.size());

  // Replacements of reclaimed hosts are not modelled: the work of a reclaimed host goes to the cheapest remaining
  // host time
  std::vector<HostTime> times;
  for (const EngineSpec& spec : aDeployment.engines) {
    const double seconds = ProcessingSeconds(work, spec, aDeployment.manifest);
    AddHostTimes(spec, aScenario, aDeployment.seconds, seconds, times);
  }
  std::sort(times.begin(), times.end(), [](const HostTime& aLeft, const HostTime& aRight) {
    return aLeft.Price() < aRight.Price();
  });
  double remainingFraction = 1;
  double cost = 0;
  for (const HostTime& time : times) {
    const double fraction = std::min(remainingFraction, time.seconds / time.workSeconds);
    cost += fraction * time.Price();
    remainingFraction -= fraction;
  }

  RunResult result;
  result.deployment = aDeployment.name;
  result.scenario = aScenario.name;
  result.policy = "bound";
  result.seed = aSeed;
  result.scale = aDeployment.scale;
  result.offered = result.accepted = result.completed = static_cast<int>(items.size());
  for (const double tokens : work.outputTokens) {
    result.tokensGenerated += static_cast<std::int64_t>(tokens);
  }

  // Work that exceeds the total host time is not served
  result.tokensAtTarget = static_cast<std::int64_t>(static_cast<double>(result.tokensGenerated) *
                                                    (1 - remainingFraction));
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
