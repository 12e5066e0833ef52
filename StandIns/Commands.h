#pragma once

#include <string>
#include <vector>

namespace lagoonward::standins {

/// Runs one command of `lagoonward-standins` until SIGTERM or SIGINT, or to its end.
/// @return the exit status: 0, 1 where the work failed, 2 for wrong arguments
[[nodiscard]] int
RunCommand(const std::string& aCommand, const std::vector<std::string>& aArguments);

/// What the commands are, for `--help`.
[[nodiscard]] std::string
Usage();

} // namespace lagoonward::standins
