#pragma once

#include "Lagoonward/Admission/AdmissionSettings.h"
#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Routing/MovePolicy.h"
#include "Lagoonward/Routing/RoutingSettings.h"

#include <optional>
#include <string_view>

namespace lagoonward::bench {

/// The settings that the decision modules run with in a bench. Starts with their defaults.
struct Tuning
{
  RoutingSettings routing;
  AdmissionSettings admission;
  RetryBudgetSettings retries;
  MoveSettings moves;
  std::optional<double> costWeight; ///< Replaces the deployment's objective weights.

  /// Sets one value from text of the form "name=value", for example "packing=0.5".
  /// @return false when there is no such name or the value is no number
  [[nodiscard]] bool Set(std::string_view aText);
};

} // namespace lagoonward::bench
