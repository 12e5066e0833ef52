#pragma once

#include "Lagoonward/Fleet/Endpoint.h"

#include <string_view>

namespace lagoonward {

/// The model version that the endpoint reports as loaded, or nullptr.
[[nodiscard]] const LoadedModel*
FindLoaded(const Endpoint& aEndpoint, std::string_view aModel, std::string_view aVersion);

/// Whether that adapter version is loaded together with the model.
[[nodiscard]] bool
HasAdapter(const LoadedModel& aModel, std::string_view aAdapter, std::string_view aVersion);

} // namespace lagoonward
