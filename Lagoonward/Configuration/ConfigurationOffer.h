#pragma once

#include "Lagoonward/Configuration/Configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace lagoonward {

/// The text by which an offer travels between daemons; it has the shape of a checkpoint record.
[[nodiscard]] std::string
WriteOffer(const ConfigurationOffer& aOffer, std::string_view aIncarnation);

/// Reads and validates the text of an offer for one market.
/// @return nothing if it has any fault
[[nodiscard]] std::optional<ConfigurationOffer>
ReadOffer(std::string_view aText, std::string_view aMarket);

} // namespace lagoonward
