#pragma once

#include "Lagoonward/Claims/ClaimKey.h"
#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/ErrorKind.h"

#include <vector>

namespace lagoonward {

/// A daemon's claim to run a non-idempotent request.
struct Claim
{
  ClaimKey key;
  std::uint64_t bodyHash = 0; ///< A different body under the same key is refused.
  RecordId id; ///< The claimant's incarnation and a sequence number that it never reuses.
};

/// The outcome of a claimed request.
struct ClaimOutcome
{
  ClaimKey key;
  RecordId id;       ///< Id of the claim.
  Ran ran = Ran::No; ///< Yes: it ran. No: it did not run and never will under this claim.
};

/// One record of a stream `claims/REGION/SHARD`: the claims and outcomes of one append.
/// `{"author":{…},"at_ms":TIME,"claims":[{"key":HEX32,"body":HEX16,"by":INCARNATION,"seq":N}],
/// "outcomes":[{"key":HEX32,"by":INCARNATION,"seq":N,"ran":"yes"|"no"}]}`
struct ClaimRecord
{
  RecordId author; ///< The daemon that appended the record; its claims may come from other daemons.
  WallTime at;     ///< By the author's clock.
  std::vector<Claim> claims;
  std::vector<ClaimOutcome> outcomes; ///< Applied after the claims of the same record.
};

/// Parses a record.
/// @param aFaults  receives every fault with its JSON pointer
/// @return nothing if there was a fault
[[nodiscard]] std::optional<ClaimRecord>
ReadClaimRecord(std::string_view aText, JsonFaults& aFaults);

/// Serializes a record as the text that ReadClaimRecord() parses.
[[nodiscard]] std::string
WriteClaimRecord(const ClaimRecord& aRecord);

} // namespace lagoonward
