#include "Bench/Decisions/Scenario.h"

#include <array>

namespace lagoonward::bench {

namespace {

constexpr std::array<std::string_view, 11> kNames{
  "steady",         "month_end_peak",  "price_shift",        "domain_reclaim",
  "double_reclaim", "lagging_reports", "hot_prefix",         "overload",
  "overload_5x",    "refused_starts",  "silent_connections",
};

} // namespace

double
Scenario::LoadAt(double aSeconds) const
{
  double factor = 1;
  for (const LoadPhase& phase : this->load) {
    factor = aSeconds >= phase.from ? phase.factor : factor;
  }
  return factor;
}

std::span<const std::string_view>
ScenarioNames()
{
  return kNames;
}

Scenario
MakeScenario(std::string_view aName, const Deployment& aDeployment)
{
  const double length = aDeployment.seconds;
  const auto& domains = aDeployment.manifest.failureDomains;
  Scenario scenario;
  scenario.name = aName;
  if (aName == "month_end_peak") {
    scenario.load = { { 0, 1 },
                      { length * 0.25, 1.3 },
                      { length * 0.4, 1.6 },
                      { length * 0.6, 1.3 },
                      { length * 0.8, 1 } };
    scenario.reclaims = { { length * 0.5, domains[0], 10, 60 } };
  } else if (aName == "price_shift") {
    // The cheapest domain becomes the most expensive one, then the order of prices changes again
    scenario.prices = { { length / 3, domains[2], 2 },
                        { length / 3, domains[0], 0.6 },
                        { length * 2 / 3, domains[2], 1 },
                        { length * 2 / 3, domains[1], 0.5 } };
  } else if (aName == "domain_reclaim") {
    scenario.reclaims = { { length * 0.4, domains[2], 10, 60 } };
  } else if (aName == "double_reclaim") {
    scenario.reclaims = { { length * 0.4, domains[2], 10, 60 },
                          { length * 0.4 + 6, domains[3], 10, 60 } };
  } else if (aName == "refused_starts") {
    scenario.reclaims = { { length * 0.3, domains[2], 10, length } };
  } else if (aName == "lagging_reports") {
    scenario.reportLag = 6;
    scenario.cacheLag = 12;
    scenario.gapChance = 0.2;
  } else if (aName == "hot_prefix") {
    scenario.hotDocumentFraction = 0.5;
  } else if (aName == "overload") {
    scenario.load = { { 0, 1 }, { length * 0.2, 4.3 }, { length * 0.8, 1 } };
  } else if (aName == "overload_5x") {
    scenario.load = { { 0, 1 }, { length * 0.2, 11 }, { length * 0.8, 1 } };
  } else if (aName == "silent_connections") {
    scenario.connectionStalls = { length * 0.2, length * 0.4, length * 0.5, length * 0.7 };
  }
  return scenario;
}

} // namespace lagoonward::bench
