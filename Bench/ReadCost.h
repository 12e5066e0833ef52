#pragma once

#include "Lagoonward/Core/Result.h"

#include <cstddef>

namespace lagoonward::bench {

/// Cost of one HTTP read as made by a daemon's control plane.
struct ReadCost
{
  double bodyBytes = 0;
  double cpuSeconds = 0; ///< Processor time of the calling thread: request, response and decoding.
};

/// Reads one engine's load aRounds times from a loopback server.
/// @return means per read, or the error of the first read that failed
[[nodiscard]] Result<ReadCost>
MeasureLoadRead(std::size_t aRounds);

/// Reads a list of aHosts hosts aRounds times from a loopback server.
/// @return means per read, or the error of the first read that failed
[[nodiscard]] Result<ReadCost>
MeasureHostListRead(std::size_t aHosts, std::size_t aRounds);

} // namespace lagoonward::bench
