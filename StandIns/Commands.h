#pragma once

#include <string>
#include <vector>

namespace lagoonward::standins {

/// Runs one command of `lagoonward-standins` until it completes or receives SIGTERM or SIGINT.
/// @return the exit status: 0 on success, 1 if the command failed, 2 for invalid arguments
[[nodiscard]] int
RunCommand(const std::string& aCommand, const std::vector<std::string>& aArguments);

/// Help text of `--help`: lists the commands.
[[nodiscard]] std::string
Usage();

} // namespace lagoonward::standins
