#include "Bench/DecisionsBench.h"

#include "Bench/Decisions/BaselinePolicy.h"
#include "Bench/Decisions/Bound.h"
#include "Bench/Decisions/LagoonwardPolicy.h"
#include "Bench/Decisions/Report.h"
#include "Bench/Decisions/Simulation.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>

namespace lagoonward::bench {

namespace {

using RunFunction = RunResult (*)(const Deployment&, const Scenario&, const Tuning&, std::uint64_t);

template<RoutePolicy Policy>
RunResult
RunPolicy(const Deployment& aDeployment, const Scenario& aScenario, const Tuning& aTuning,
          std::uint64_t aSeed)
{
  return Simulation<Policy>(aDeployment, aScenario, aTuning, aSeed).Run();
}

/// A policy and its name on the command line.
struct PolicyEntry
{
  std::string_view name;
  RunFunction run;
};

constexpr std::array<PolicyEntry, 7> kPolicies{ {
  { "lagoonward", RunPolicy<LagoonwardPolicy> },
  { "random", RunPolicy<BaselinePolicy<RandomRule>> },
  { "round_robin", RunPolicy<BaselinePolicy<RoundRobinRule>> },
  { "least_outstanding", RunPolicy<BaselinePolicy<LeastOutstandingRule>> },
  { "prefix_hash", RunPolicy<BaselinePolicy<PrefixHashRule>> },
  { "two_level_hash", RunPolicy<BaselinePolicy<TwoLevelHashRule>> },
  { "bound", ComputeBound },
} };

/// Command-line options.
struct Options
{
  std::string deployment;
  std::string scenario;
  std::string policy;
  std::uint64_t seed = 1;
  int seeds = 1;
  bool json = false;
  std::string plot;
  Tuning tuning;
};

void
RunAll(const Deployment& aDeployment, const Options& aOptions)
{
  std::vector<RunResult> results;
  for (const std::string_view name : ScenarioNames()) {
    if (aOptions.scenario != "all" && aOptions.scenario != name) {
      continue;
    }
    const Scenario scenario = MakeScenario(name, aDeployment);
    for (const PolicyEntry& entry : kPolicies) {
      if (aOptions.policy != "all" && aOptions.policy != entry.name) {
        continue;
      }
      for (int index = 0; index < aOptions.seeds; ++index) {
        const auto seed = aOptions.seed + static_cast<std::uint64_t>(index);
        RunResult result = entry.run(aDeployment, scenario, aOptions.tuning, seed);
        result.policy = entry.name;
        if (aOptions.json) {
          std::cout << ToJson(result) << '\n' << std::flush;
        }
        results.push_back(std::move(result));
      }
    }
  }
  if (!aOptions.json) {
    std::cout << ToTable(results);
  }
  if (!aOptions.plot.empty()) {
    std::ofstream(aOptions.plot) << ToSvg(results);
  }
}

} // namespace

int
RunDecisionsBench(std::span<const std::string> aArguments)
{
  namespace po = boost::program_options;
  Options options;
  po::options_description description("lagoonward-bench decisions");
  auto add = description.add_options();
  add("help", "show this");
  add("deployment", po::value(&options.deployment)->default_value("utslipp"),
      "utslipp, cantabrico or plan");
  add("scenario", po::value(&options.scenario)->default_value("all"), "one scenario, or all");
  add("policy", po::value(&options.policy)->default_value("all"), "one policy, or all");
  add("seed", po::value(&options.seed)->default_value(1), "first seed");
  add("seeds", po::value(&options.seeds)->default_value(1), "how many seeds, from the first on");
  add("set", po::value<std::vector<std::string>>(),
      "name=value: one setting of the decision modules; may be given several times");
  add("json", po::bool_switch(&options.json), "one JSON object per run");
  add("plot", po::value(&options.plot), "write an SVG there");
  po::variables_map values;
  try {
    const std::vector<std::string> arguments(aArguments.begin(), aArguments.end());
    po::store(po::command_line_parser(arguments).options(description).run(), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  if (values.count("set") > 0) {
    for (const std::string& text : values["set"].as<std::vector<std::string>>()) {
      if (!options.tuning.Set(text)) {
        std::cerr << "unknown setting or invalid value, expected name=number: " << text << '\n';
        return 2;
      }
    }
  }
  const auto deployment = MakeDeployment(options.deployment);
  const auto scenarios = ScenarioNames();
  const bool scenarioKnown =
    options.scenario == "all" ||
    std::find(scenarios.begin(), scenarios.end(), options.scenario) != scenarios.end();
  const bool policyKnown =
    options.policy == "all" ||
    std::any_of(kPolicies.begin(), kPolicies.end(),
                [&](const PolicyEntry& aEntry) { return aEntry.name == options.policy; });
  if (!deployment || !scenarioKnown || !policyKnown) {
    std::cerr << "unknown deployment, scenario or policy\n" << description;
    return 2;
  }
  RunAll(*deployment, options);
  return 0;
}

} // namespace lagoonward::bench
