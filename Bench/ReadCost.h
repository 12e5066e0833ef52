#pragma once

#include "Lagoonward/Core/Result.h"

#include <cstddef>

namespace lagoonward::bench {

/// Cost of one HTTP read, as a daemon's control side makes it.
struct ReadCost
{
  double bodyBytes = 0;
  double cpuSeconds = 0; ///< Of the calling thread: request, answer and decoding.
};

/// Reads one engine's load again and again from a server on loopback.
[[nodiscard]] Result<ReadCost>
MeasureLoadRead(std::size_t aRounds);

/// Reads a host list of that many hosts again and again from a server on loopback.
[[nodiscard]] Result<ReadCost>
MeasureHostListRead(std::size_t aHosts, std::size_t aRounds);

} // namespace lagoonward::bench
