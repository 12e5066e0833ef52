#pragma once

#include <span>
#include <string_view>

namespace lagoonward::bench {

/// `lagoonward-bench control`: runs the control planes of many daemons in one process, which exchange the
/// production messages over loopback. Measures bytes, processor time and memory per daemon and the time
/// until a change has reached all daemons; fits the slopes per daemon and per endpoint.
///
/// Arguments: `--json` prints one JSON document; `--quick` runs one small size; `--full` runs only
/// 380 daemons with 880 endpoints in 3 regions; `--size DAEMONS ENDPOINTS REGIONS` runs only that size,
/// so that no earlier size affects the memory measurement; `--seconds N` sets the time measured per size.
/// @return exit code
[[nodiscard]] int
RunControlBench(std::span<const std::string> aArguments);

} // namespace lagoonward::bench
