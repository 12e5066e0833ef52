#pragma once

#include <string>
#include <vector>

namespace lagoonward::standins {

/// `lagoonward-standins load`: sends a planned load to daemons and judges every answer.
/// @return 0 only if nothing was lost, doubled or wrong
[[nodiscard]] int
RunLoad(const std::vector<std::string>& aArguments);

} // namespace lagoonward::standins
