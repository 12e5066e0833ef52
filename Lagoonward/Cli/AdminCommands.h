#pragma once

#include <ostream>
#include <span>
#include <string>

namespace lagoonward {

/// `lagoonward status --admin-url URL[,URL…]`: prints the status of each daemon with its configuration in force, and
/// the status of each endpoint.
/// @return the exit status: 0 if all daemons responded and their offsets in force agree, 1 if not, 2 on wrong usage
[[nodiscard]] int
RunStatus(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr);

/// `lagoonward drain --admin-url URL`: requests that a daemon drains and terminates.
/// @return the exit status: 0 if the daemon accepted the request, 1 if not, 2 on wrong usage
[[nodiscard]] int
RunDrain(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr);

/// `lagoonward explain ID --admin-url URL[,URL…]`: prints the decisions made for one request.
/// @return the exit status: 0 if a daemon has a record of the request, 1 if none does, 2 on wrong usage
[[nodiscard]] int
RunExplain(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr);

} // namespace lagoonward
