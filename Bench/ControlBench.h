#pragma once

#include <span>
#include <string_view>

namespace lagoonward::bench {

/// `lagoonward-bench control`: control planes of many daemons in one process, over the real messages
/// on loopback. Measures bytes, processor time and memory per daemon and the time until a change is
/// known everywhere; fits the slopes per daemon and per endpoint.
///
/// Arguments: `--json` prints one JSON document; `--quick` runs one small size; `--full` runs only
/// 380 daemons before 880 endpoints in 3 regions; `--size DAEMONS ENDPOINTS REGIONS` runs only that size, in a process whose memory
/// no earlier size has touched; `--seconds N` sets the time measured per size.
/// @return exit code
[[nodiscard]] int
RunControlBench(std::span<const std::string> aArguments);

} // namespace lagoonward::bench
