#include "Bench/Decisions/Report.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace lagoonward::bench {

namespace {

constexpr double kPercent = 100;

/// Rounds to a multiple of aUnit, so that reports are readable and independent of floating-point rounding in the last
/// bits.
double
Round(double aValue, double aUnit)
{
  return std::round(aValue / aUnit) * aUnit;
}

double
MeanAttainment(const RunResult& aResult)
{
  double met = 0;
  double accepted = 0;
  for (const ClassResult& each : aResult.classes) {
    met += each.met;
    accepted += each.accepted;
  }
  return accepted > 0 ? met / accepted : 1;
}

/// Linear mapping of values to coordinates.
struct Axis
{
  double low = 0;
  double high = 1;
  double from = 0;
  double to = 1;

  [[nodiscard]] double At(double aValue) const
  {
    const double width = std::max(this->high - this->low, 1e-9);
    return this->from + (aValue - this->low) / width * (this->to - this->from);
  }
};

/// Distinct policies in the order of their first run.
std::vector<std::string>
ListPolicies(std::span<const RunResult> aResults)
{
  std::vector<std::string> policies;
  for (const RunResult& result : aResults) {
    if (std::find(policies.begin(), policies.end(), result.policy) == policies.end()) {
      policies.push_back(result.policy);
    }
  }
  return policies;
}

const char*
PolicyColour(std::size_t aIndex)
{
  constexpr std::array<const char*, 7> kColours{ "#1b6ca8", "#c0392b", "#27ae60", "#8e44ad",
                                                 "#e67e22", "#7f8c8d", "#2c3e50" };
  return kColours[aIndex % kColours.size()];
}

} // namespace

std::string
ToJson(const RunResult& aResult)
{
  constexpr double kMoney = 1e-6;
  constexpr double kMillis = 1e-3;
  nlohmann::ordered_json json;
  json["deployment"] = aResult.deployment;
  json["scenario"] = aResult.scenario;
  json["policy"] = aResult.policy;
  json["seed"] = aResult.seed;
  json["scale"] = aResult.scale;
  json["offered"] = aResult.offered;
  json["accepted"] = aResult.accepted;
  json["answered_whole"] = aResult.completed;
  json["lost"] = aResult.lost;
  json["duplicated"] = aResult.duplicated;
  json["refused_not_run"] = aResult.refusedNotRun;
  json["tokens_generated"] = aResult.tokensGenerated;
  json["tokens_recomputed"] = aResult.tokensRecomputed;
  json["tokens_at_target"] = aResult.tokensAtTarget;
  json["cost"] = Round(aResult.cost, kMoney);
  json["cost_at_target"] = Round(aResult.CostAtTarget(), kMoney);
  for (const ClassResult& each : aResult.classes) {
    auto& object = json["classes"][each.name];
    object["accepted"] = each.accepted;
    object["first_token_p95_ms"] = Round(each.firstTokenP95Ms, kMillis);
    object["between_tokens_p95_ms"] = Round(each.betweenTokensP95Ms, kMillis);
    object["attainment"] = Round(each.Attainment(), kMoney);
  }
  return json.dump();
}

std::string
ToTable(std::span<const RunResult> aResults)
{
  std::string text = fmt::format(
    "{:<11}{:<20}{:<18}{:>5}{:>8}{:>8}{:>6}{:>5}{:>8}{:>11}{:>10}{:>10}  {}\n", "deployment",
    "scenario", "policy", "seed", "accept", "whole", "lost", "dup", "refused", "recomputed", "cost",
    "cost/Mtok", "attainment, first ms, between ms (p95)");
  for (const RunResult& run : aResults) {
    text += fmt::format("{:<11}{:<20}{:<18}{:>5}{:>8}{:>8}{:>6}{:>5}{:>8}{:>11}{:>10.4f}{:>10.4f} ",
                        run.deployment, run.scenario, run.policy, run.seed, run.accepted,
                        run.completed, run.lost, run.duplicated, run.refusedNotRun,
                        run.tokensRecomputed, run.cost, run.CostAtTarget());
    for (const ClassResult& each : run.classes) {
      text += fmt::format(" {} {:.1f}% {:.0f} {:.0f};", each.name, each.Attainment() * kPercent,
                          each.firstTokenP95Ms, each.betweenTokensP95Ms);
    }
    text += "\n";
  }
  return text;
}

std::string
ToSvg(std::span<const RunResult> aResults)
{
  constexpr double kPanel = 360;
  const auto policies = ListPolicies(aResults);
  double highestCost = 0;
  double lowestAttainment = 1;
  double highestRecomputed = 1;
  for (const RunResult& run : aResults) {
    highestCost = std::max(highestCost, run.CostAtTarget());
    lowestAttainment = std::min(lowestAttainment, MeanAttainment(run));
    highestRecomputed = std::max(highestRecomputed, static_cast<double>(run.tokensRecomputed));
  }
  const Axis cost{ 0, highestCost, 60, kPanel };
  const Axis attainment{ lowestAttainment, 1, kPanel, 40 };
  const Axis recomputed{ 0, highestRecomputed, kPanel, 40 };

  std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"860\" height=\"430\" "
                    "font-family=\"sans-serif\" font-size=\"11\">\n"
                    "<rect width=\"860\" height=\"430\" fill=\"white\"/>\n";
  svg += fmt::format("<text x=\"60\" y=\"20\">cost per million tokens at target (0 to {:.2f}) "
                     "against attainment ({:.0f}% to 100%)</text>\n",
                     highestCost, lowestAttainment * kPercent);
  svg += fmt::format("<text x=\"450\" y=\"20\">tokens recomputed (0 to {:.0f})</text>\n",
                     highestRecomputed);
  svg += "<path d=\"M60 40V360H360M450 40V360H700\" fill=\"none\" stroke=\"black\"/>\n";
  for (const RunResult& run : aResults) {
    const auto index = static_cast<std::size_t>(
      std::find(policies.begin(), policies.end(), run.policy) - policies.begin());
    svg += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"4\" fill=\"{}\"/>\n",
                       cost.At(run.CostAtTarget()), attainment.At(MeanAttainment(run)),
                       PolicyColour(index));
    svg +=
      fmt::format("<circle cx=\"{}\" cy=\"{:.1f}\" r=\"4\" fill=\"{}\"/>\n", 470 + 34 * index,
                  recomputed.At(static_cast<double>(run.tokensRecomputed)), PolicyColour(index));
  }
  for (std::size_t index = 0; index < policies.size(); ++index) {
    svg += fmt::format("<text x=\"720\" y=\"{}\" fill=\"{}\">{}</text>\n", 60 + 18 * index,
                       PolicyColour(index), policies[index]);
  }
  return svg + "</svg>\n";
}

} // namespace lagoonward::bench
