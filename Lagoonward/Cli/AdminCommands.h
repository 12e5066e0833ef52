#pragma once

#include <ostream>
#include <span>
#include <string>

namespace lagoonward {

/// `lagoonward status --admin-url URL[,URL…]`: what is in force where, per daemon and per endpoint.
/// @return 0 when all daemons answered and agree, 1 when one did not or they differ, 2 wrong usage
[[nodiscard]] int
RunStatus(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr);

/// `lagoonward drain --admin-url URL`: asks a daemon to leave.
/// @return 0 when it agreed, 1 when it did not answer, 2 wrong usage
[[nodiscard]] int
RunDrain(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr);

/// `lagoonward explain ID --admin-url URL[,URL…]`: the decisions taken for one request.
/// @return 0 when a daemon knows the request, 1 when none does, 2 wrong usage
[[nodiscard]] int
RunExplain(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr);

} // namespace lagoonward
