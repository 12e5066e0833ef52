#pragma once

#include <ostream>
#include <span>
#include <string>

namespace lagoonward {

/// `lagoonward serve`: runs a daemon until SIGTERM, SIGINT or an operator's drain command. Then finishes all requests
/// and returns.
/// @param aArguments  the arguments after `serve`
/// @return the exit status: 0 after draining, 1 if the start failed, 2 on invalid settings
[[nodiscard]] int
RunServe(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr);

} // namespace lagoonward
