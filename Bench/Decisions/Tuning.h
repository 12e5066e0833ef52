#pragma once

#include "Lagoonward/Admission/AdmissionSettings.h"
#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Routing/MovePolicy.h"
#include "Lagoonward/Routing/RoutingSettings.h"

#include <optional>
#include <string_view>

namespace lagoonward::bench {

/// Settings of the decision modules in a bench run, initialized to their defaults.
struct Tuning
{
  RoutingSettings routing;
  AdmissionSettings admission;
  RetryBudgetSettings retries;
  MoveSettings moves;
  /// Overrides the objective of the deployment: cost gets this weight, recomputed tokens the rest.
  std::optional<double> costWeight;

  /// Sets one value from a text of the form "name=value", for example "packing=0.5".
  /// @return false if the name is unknown or the value is not a number
  [[nodiscard]] bool Set(std::string_view aText);
};

} // namespace lagoonward::bench
