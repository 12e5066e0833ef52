#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonward::bench {

/// Results of one class in a run.
struct ClassResult
{
  std::string name;
  int offered = 0;
  int accepted = 0;
  int met = 0; ///< Completed with both targets met.
  double firstTokenP95Ms = 0;
  double betweenTokensP95Ms = 0;

  /// Fraction of the accepted requests that met their targets.
  [[nodiscard]] double Attainment() const
  {
    return this->accepted > 0 ? static_cast<double>(this->met) / this->accepted : 1;
  }
};

/// Results of one run. docs/DECISIONS.md describes the fields.
struct RunResult
{
  std::string deployment;
  std::string scenario;
  std::string policy;
  std::uint64_t seed = 0;
  double scale = 1;
  int offered = 0;
  int accepted = 0;
  int completed = 0;
  int lost = 0;
  int duplicated = 0;
  int refusedNotRun = 0;
  std::int64_t tokensGenerated = 0;
  std::int64_t tokensRecomputed = 0;
  std::int64_t tokensAtTarget = 0; ///< Generated tokens of requests that met their targets.
  double cost = 0;
  std::vector<ClassResult> classes;

  /// Cost per million generated tokens of requests that met their targets.
  [[nodiscard]] double CostAtTarget() const
  {
    constexpr double kMillion = 1e6;
    return this->tokensAtTarget > 0
             ? this->cost * kMillion / static_cast<double>(this->tokensAtTarget)
             : 0;
  }
};

} // namespace lagoonward::bench
