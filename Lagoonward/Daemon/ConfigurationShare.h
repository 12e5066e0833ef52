#pragma once

#include "Lagoonward/Configuration/Configuration.h"
#include "Lagoonward/Membership/SharedStates.h"

#include <optional>

namespace lagoonward {

/// Whether a shared state carries a market's configuration.
[[nodiscard]] bool
IsConfigurationShare(const SharedState& aState);

/// The market that such a state is about.
[[nodiscard]] std::string
MarketOfShare(const SharedState& aState);

/// What a peer is told of a market: the checkpoint record, as it would stand in the log.
[[nodiscard]] SharedState
WriteConfigurationShare(const Configuration& aConfiguration, Offset aThrough);

/// Inverse of WriteConfigurationShare().
/// @return nothing when the state is malformed
[[nodiscard]] std::optional<ConfigurationOffer>
ReadConfigurationShare(const SharedState& aState);

} // namespace lagoonward
