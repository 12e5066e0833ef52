#pragma once

#include "Lagoonward/Configuration/Configuration.h"
#include "Lagoonward/Membership/SharedStates.h"

#include <optional>

namespace lagoonward {

/// Whether a shared state carries a market's configuration.
[[nodiscard]] bool
IsConfigurationState(const SharedState& aState);

/// Name of the market whose configuration the state carries.
[[nodiscard]] std::string
MarketOfState(const SharedState& aState);

/// Encodes a market's configuration for peers, as the checkpoint record that the log would contain.
/// @param aThrough  offset up to which the log was read
[[nodiscard]] SharedState
EncodeConfigurationState(const Configuration& aConfiguration, Offset aThrough);

/// Inverse of EncodeConfigurationState().
/// @return nothing if the state is malformed
[[nodiscard]] std::optional<ConfigurationOffer>
DecodeConfigurationState(const SharedState& aState);

} // namespace lagoonward
