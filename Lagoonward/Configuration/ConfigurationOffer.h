#pragma once

#include "Lagoonward/Configuration/Configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace lagoonward {

/// Serializes an offer for sending to other daemons, in the format of a checkpoint record.
[[nodiscard]] std::string
WriteOffer(const ConfigurationOffer& aOffer, std::string_view aIncarnation);

/// Parses and validates a serialized offer for one market.
/// @return nothing if the text is invalid
[[nodiscard]] std::optional<ConfigurationOffer>
ReadOffer(std::string_view aText, std::string_view aMarket);

} // namespace lagoonward
