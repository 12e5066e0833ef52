#pragma once

#include <ostream>
#include <span>
#include <string>

namespace lagoonward {

/// `lagoonward serve`: runs a daemon until SIGTERM, SIGINT or an operator's drain, finishes every
/// request and ends.
/// @param aArguments  what follows `serve`
/// @return the exit status: 0 drained, 1 could not start, 2 wrong settings
[[nodiscard]] int
RunServe(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr);

} // namespace lagoonward
