#include "Bench/ReclaimBench.h"

#include "Bench/ReclaimSimulation.h"
#include "Lagoonward/Reclaim/MovePlanner.h"
#include "Lagoonward/Reclaim/RetryFromScratch.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <iostream>
#include <optional>

namespace lagoonward::bench {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kExitUsage = 2;
constexpr int kDefaultSeeds = 10;

/// Results of one policy, summed over all seeds; the longest gap is the maximum.
struct Summary
{
  double recomputed = 0;
  double longestGap = 0;
  int streams = 0;
  int lost = 0;
  int movesIntoLeaving = 0;
  std::array<int, 4> moves{};

  void Add(const ReclaimOutcome& aOutcome)
  {
    this->recomputed += aOutcome.recomputedTokens;
    this->longestGap = std::max(this->longestGap, aOutcome.longestGapSeconds);
    this->streams += aOutcome.streams;
    this->lost += aOutcome.lost;
    this->movesIntoLeaving += aOutcome.movesIntoLeaving;
    for (std::size_t index = 0; index < this->moves.size(); ++index) {
      this->moves[index] += aOutcome.moves[index];
    }
  }

  [[nodiscard]] Json ToJson() const
  {
    Json shares;
    int total = 0;
    for (const int count : this->moves) {
      total += count;
    }
    for (const auto kind :
         { MoveKind::FinishInPlace, MoveKind::ExportImport, MoveKind::Reprefill }) {
      const double count = this->moves[static_cast<int>(kind)];
      shares[std::string(ToString(kind))] = total > 0 ? count / total : 0;
    }
    return { { "streams", this->streams }, { "recomputed_tokens", this->recomputed },
             { "shares", shares },         { "longest_gap_seconds", this->longestGap },
             { "lost", this->lost },       { "moves_into_leaving", this->movesIntoLeaving } };
  }
};

template<ReclaimPolicy Policy>
Summary
Measure(const Policy& aPolicy, ReclaimScenario aScenario, int aSeeds, bool aFromScratch)
{
  Summary summary;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    aScenario.seed = static_cast<std::uint64_t>(seed);
    summary.Add(ReclaimSimulation<Policy>(aPolicy, aScenario, aFromScratch).Run());
  }
  return summary;
}

Json
MeasureScenario(const std::string& aName, const ReclaimScenario& aScenario, int aSeeds)
{
  const Summary planner = Measure(MovePlanner(ReclaimSettings()), aScenario, aSeeds, false);
  const Summary baseline = Measure(RetryFromScratch(), aScenario, aSeeds, true);
  return { { "scenario", aName },
           { "seeds", aSeeds },
           { "recomputed_ratio", planner.recomputed / std::max(1.0, baseline.recomputed) },
           { "planner", planner.ToJson() },
           { "retry_from_scratch", baseline.ToJson() } };
}

/// Parses the value of `--seeds`.
/// @return std::nullopt if it is not a positive integer
std::optional<int>
ReadSeeds(const std::string& aText)
{
  int seeds = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), seeds);
  const bool isInteger = error == std::errc() && end == aText.data() + aText.size();
  return isInteger && seeds > 0 ? std::optional<int>(seeds) : std::nullopt;
}

void
Print(const Json& aResults)
{
  for (const Json& result : aResults) {
    std::cout << result["scenario"].get<std::string>() << ": recomputed "
              << 100 * result["recomputed_ratio"].get<double>() << "% of retry from scratch\n";
    for (const char* policy : { "planner", "retry_from_scratch" }) {
      std::cout << "  " << policy << ' ' << result[policy].dump() << '\n';
    }
  }
}

} // namespace

int
RunReclaimBench(std::span<const std::string> aArguments)
{
  bool json = false;
  int seeds = kDefaultSeeds;
  for (std::size_t index = 0; index < aArguments.size(); ++index) {
    const bool hasValue = index + 1 < aArguments.size();
    const auto seedCount = hasValue ? ReadSeeds(aArguments[index + 1]) : std::nullopt;
    if (aArguments[index] == "--json") {
      json = true;
    } else if (aArguments[index] == "--seeds" && seedCount) {
      seeds = *seedCount;
      ++index;
    } else {
      std::cerr << "usage: lagoonward-bench reclaim [--json] [--seeds N]\n";
      return kExitUsage;
    }
  }

  Json results = Json::array();
  ReclaimScenario scenario;
  results.push_back(MeasureScenario("one domain, 30 s notice", scenario, seeds));
  scenario.secondDomain = true;
  results.push_back(MeasureScenario("second domain during the moves", scenario, seeds));
  scenario.linkBytesPerSecond = 0.25e9;
  results.push_back(MeasureScenario("second domain, links at a fifth", scenario, seeds));
  if (json) {
    std::cout << results.dump(2) << '\n';
  } else {
    Print(results);
  }
  return 0;
}

} // namespace lagoonward::bench
