#pragma once

#include "Lagoonward/Claims/ClaimKey.h"
#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/ErrorKind.h"

#include <vector>

namespace lagoonward {

/// One daemon's wish to run a non-idempotent request.
struct Claim
{
  ClaimKey key;
  std::uint64_t bodyHash = 0; ///< Of the request's body; another body under one key is refused.
  RecordId id;                ///< The claimant's incarnation and a number that it uses once.
};

/// What is known of a claimed request.
struct ClaimOutcome
{
  ClaimKey key;
  RecordId id;       ///< Of the claim.
  Ran ran = Ran::No; ///< Yes: it ran. No: it did not, and never will under this claim.
};

/// One record of a stream `claims/REGION/SHARD`: the claims and outcomes of one append.
/// `{"author":{…},"at_ms":TIME,"claims":[{"key":HEX32,"body":HEX16,"by":INCARNATION,"seq":N}],
/// "outcomes":[{"key":HEX32,"by":INCARNATION,"seq":N,"ran":"yes"|"no"}]}`
struct ClaimRecord
{
  RecordId author; ///< Who appended it; its claims may be other daemons'.
  WallTime at;     ///< The author's clock.
  std::vector<Claim> claims;
  std::vector<ClaimOutcome> outcomes; ///< Take effect after the claims of the same record.
};

/// Reads a record.
/// @param aFaults  gets every fault, with its pointer
/// @return nothing if there was a fault
[[nodiscard]] std::optional<ClaimRecord>
ReadClaimRecord(std::string_view aText, JsonFaults& aFaults);

/// The text that ReadClaimRecord() reads.
[[nodiscard]] std::string
WriteClaimRecord(const ClaimRecord& aRecord);

} // namespace lagoonward
