#pragma once

#include "Bench/Decisions/RunResult.h"

#include <span>
#include <string>

namespace lagoonward::bench {

/// One JSON object on one line.
[[nodiscard]] std::string
ToJson(const RunResult& aResult);

/// A text table of runs, one line each.
[[nodiscard]] std::string
ToTable(std::span<const RunResult> aResults);

/// An SVG with two panels: cost at target against attainment, and tokens recomputed, by policy.
[[nodiscard]] std::string
ToSvg(std::span<const RunResult> aResults);

} // namespace lagoonward::bench
