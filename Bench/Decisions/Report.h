#pragma once

#include "Bench/Decisions/RunResult.h"

#include <span>
#include <string>

namespace lagoonward::bench {

/// Formats a run as a JSON object on one line.
[[nodiscard]] std::string
ToJson(const RunResult& aResult);

/// Formats runs as a text table, one line per run.
[[nodiscard]] std::string
ToTable(std::span<const RunResult> aResults);

/// Formats runs as an SVG with two panels: cost at target against attainment, and recomputed tokens by policy.
[[nodiscard]] std::string
ToSvg(std::span<const RunResult> aResults);

} // namespace lagoonward::bench
