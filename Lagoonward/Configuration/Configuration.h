#pragma once

#include "Lagoonward/Configuration/Manifest.h"

#include <memory>
#include <string>

namespace lagoonward {

/// What is in force in one market. Immutable; a new one is published for each change.
struct Configuration
{
  std::string market;
  Offset offset = kNoOffset; ///< Offset of the accepted record: its version.
  Manifest manifest;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// What one daemon tells another about a market: what is in force once every record below `through`
/// has been read. `configuration` is null when nothing is in force there.
struct ConfigurationOffer
{
  ConfigurationPtr configuration;
  Offset through = 0;
};

} // namespace lagoonward
