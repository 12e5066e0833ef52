#include "Bench/ClaimCost.h"

#include "Bench/ThreadTime.h"
#include "Lagoonward/Claims/ClaimLedger.h"
#include "Lagoonward/Core/SystemClock.h"

#include <malloc.h>

namespace lagoonward::bench {

namespace {

/// Makes a record of aBatch claims, numbered from aFirst, each with its outcome.
ClaimRecord
MakeRecord(std::size_t aFirst, std::size_t aBatch, WallTime aNow)
{
  ClaimRecord record;
  record.author = { "0123456789abcdef0123456789abcdef", aFirst + 1 };
  record.at = aNow;
  for (std::size_t index = aFirst; index < aFirst + aBatch; ++index) {
    Claim claim;
    claim.key = MakeClaimKey("market", "client", std::to_string(index));
    claim.bodyHash = index;
    claim.id = { "0123456789abcdef0123456789abcdef", index + 1 };
    record.outcomes.push_back({ claim.key, claim.id, Ran::Yes });
    record.claims.push_back(std::move(claim));
  }
  return record;
}

} // namespace

ClaimCost
MeasureClaims(std::size_t aClaims, std::size_t aBatch)
{
  constexpr Milliseconds kLifetime{ 6 * 3'600'000 };
  const SystemClock clock;
  ClaimLedger ledger(kLifetime);
  ClaimCost cost;
  const auto heapBefore = static_cast<double>(mallinfo2().uordblks);
  Offset offset = 0;
  for (std::size_t first = 0; first + aBatch <= aClaims; first += aBatch) {
    const ClaimRecord record = MakeRecord(first, aBatch, clock.WallNow());
    const double writeStart = ThreadSeconds();
    const std::string text = WriteClaimRecord(record);
    const double writeEnd = ThreadSeconds();
    std::ignore = ledger.Apply(offset++, text);
    cost.applyCpuSeconds += ThreadSeconds() - writeEnd;
    cost.writeCpuSeconds += writeEnd - writeStart;
    cost.recordBytes += static_cast<double>(text.size());
  }
  cost.heapBytes = static_cast<double>(mallinfo2().uordblks) - heapBefore;
  const auto claims = static_cast<double>(offset) * static_cast<double>(aBatch);
  cost.recordBytes /= claims;
  cost.heapBytes /= claims;
  cost.writeCpuSeconds /= claims;
  cost.applyCpuSeconds /= claims;
  return cost;
}

} // namespace lagoonward::bench
