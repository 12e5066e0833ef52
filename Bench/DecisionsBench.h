#pragma once

#include <span>
#include <string>

namespace lagoonward::bench {

/// `lagoonward-bench decisions`: runs the decision modules on a virtual clock against fake engines and
/// compares them with the baselines and the bound. See docs/DECISIONS.md.
/// @return the program's exit code: 2 for invalid arguments
int
RunDecisionsBench(std::span<const std::string> aArguments);

} // namespace lagoonward::bench
