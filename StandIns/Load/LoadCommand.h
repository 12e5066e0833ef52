#pragma once

#include <string>
#include <vector>

namespace lagoonward::standins {

/// `lagoonward-standins load`: sends a planned load to daemons and verifies every answer.
/// @return 0 only if no request was lost, duplicated or answered incorrectly
[[nodiscard]] int
RunLoad(const std::vector<std::string>& aArguments);

} // namespace lagoonward::standins
