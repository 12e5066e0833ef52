#pragma once

#include <cstddef>

namespace lagoonward::bench {

/// Cost of a claim of a non-idempotent request for the daemon that batches its shard.
struct ClaimCost
{
  double recordBytes = 0;     ///< Of the log record, per claim and its outcome.
  double heapBytes = 0;       ///< Kept while the key is remembered.
  double writeCpuSeconds = 0; ///< Writing the record.
  double foldCpuSeconds = 0;  ///< Reading the record back and folding it in.
};

/// Writes and folds claims, each with its outcome, in records of aBatch claims.
[[nodiscard]] ClaimCost
MeasureClaims(std::size_t aClaims, std::size_t aBatch);

} // namespace lagoonward::bench
