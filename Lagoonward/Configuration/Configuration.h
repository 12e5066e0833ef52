#pragma once

#include "Lagoonward/Configuration/Manifest.h"

#include <memory>
#include <string>

namespace lagoonward {

/// The configuration in force in one market. Immutable; each change publishes a new one.
struct Configuration
{
  std::string market;
  Offset offset = kNoOffset; ///< Offset of the accepted record, used as the version.
  Manifest manifest;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// The state of a market that one daemon sends to another: the configuration in force after all records
/// below `through`. `configuration` is null if none is in force.
struct ConfigurationOffer
{
  ConfigurationPtr configuration;
  Offset through = 0;
};

} // namespace lagoonward
