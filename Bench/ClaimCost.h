#pragma once

#include <cstddef>

namespace lagoonward::bench {

/// Cost of the claim of one non-idempotent request to the daemon that batches the claim's shard.
struct ClaimCost
{
  double recordBytes = 0;     ///< Size of the log record per claim and its outcome.
  double heapBytes = 0;       ///< Held by the ledger while it retains the key.
  double writeCpuSeconds = 0; ///< Serializing the record.
  double applyCpuSeconds = 0; ///< Parsing the record and applying it to the ledger.
};

/// Serializes claims, each with its outcome, in records of aBatch claims and applies them to a ledger.
/// @return means per claim
[[nodiscard]] ClaimCost
MeasureClaims(std::size_t aClaims, std::size_t aBatch);

} // namespace lagoonward::bench
