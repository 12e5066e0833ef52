#pragma once

#include "Lagoonward/Claims/ClaimRecord.h"
#include "Lagoonward/Configuration/Manifest.h"

#include <deque>
#include <unordered_map>

namespace lagoonward {

/// The claim that holds a key.
struct ClaimHolder
{
  RecordId id; ///< Id of the claim that won.
  std::uint64_t bodyHash = 0;
  Ran ran = Ran::Unknown; ///< Yes once its claimant has recorded that the request ran.
  Offset offset = kNoOffset;
};

/// Folds the records of one stream `claims/REGION/SHARD` into a table of the holder of each key. The first
/// claim by offset, then by position within a record, wins. An outcome "no" frees the key and voids every
/// copy of that claim that is appended later. A later claim of a held key loses, but extends the hold by
/// another lifetime, so that readers with different clocks or lifetimes never see two winners within the
/// shorter lifetime. docs/design/at-most-once.md has the proof. Not thread-safe.
class ClaimLedger
{
public:
  /// @param aLifetime  how long a key stays held after its last claim; the log's retention must be longer
  explicit ClaimLedger(Milliseconds aLifetime);

  /// Result of ObserveStart().
  struct StartReport
  {
    Offset skipped = 0; ///< Records removed by the log's retention before they were read.
    bool retentionTooShort = false; ///< The log has removed records younger than the lifetime.
  };

  /// Records the oldest offset that the log still retains.
  [[nodiscard]] StartReport ObserveStart(Offset aStart, WallTime aNow);

  /// Result of Apply().
  struct AppliedRecord
  {
    std::optional<RecordId> author; ///< Empty if the record was invalid or already read.
    JsonFaults faults;              ///< Faults of an invalid record, which every reader skips.
  };

  /// Parses and folds one record; a record that was already read is ignored.
  AppliedRecord Apply(Offset aOffset, std::string_view aData);

  /// As Apply(), for a parsed record.
  void Fold(Offset aOffset, const ClaimRecord& aRecord);

  /// The holder of the key at aNow, if there is one.
  [[nodiscard]] std::optional<ClaimHolder> Find(const ClaimKey& aKey, WallTime aNow) const;

  /// Latest timestamp of any record read. A new record must not have an earlier timestamp, so that an author
  /// with a slow clock cannot make a key expire early.
  [[nodiscard]] WallTime LatestTime() const;

  /// Whether the claim was withdrawn by an outcome "no".
  [[nodiscard]] bool IsVoid(const RecordId& aId) const;

  /// First unread offset.
  [[nodiscard]] Offset NextOffset() const;

  /// Removes entries older than the lifetime plus a margin for clock differences.
  void RemoveExpired(WallTime aNow);

  [[nodiscard]] std::size_t Size() const;

private:
  using ClaimantIndex = std::uint32_t;

  /// A claim's id, with its incarnation stored as an index into `claimants`.
  struct CompactId
  {
    ClaimantIndex claimant = 0;
    std::uint64_t sequence = 0;
    [[nodiscard]] bool operator==(const CompactId&) const = default;
  };
  struct CompactIdHash
  {
    [[nodiscard]] std::size_t operator()(const CompactId& aId) const;
  };
  /// Members are ordered so that only the last word is padded, because the table holds millions of entries.
  struct Entry
  {
    std::uint64_t sequence = 0; ///< Together with `claimant`, the id of the claim that won.
    std::uint64_t bodyHash = 0;
    Offset offset = kNoOffset;
    WallTime lastClaim; ///< Time of the last claim of the key, won or lost.
    ClaimantIndex claimant = 0;
    Ran ran = Ran::Unknown;

    [[nodiscard]] CompactId Id() const { return { this->claimant, this->sequence }; }
  };
  /// Timestamp and offset of a folded record, to detect a log retention that is too short.
  struct RetainedRecord
  {
    WallTime at;
    Offset offset = kNoOffset;
  };
  /// An item to check for removal once it is older than the lifetime; queued in the order of folding.
  template<typename Item>
  struct ExpiryEntry
  {
    WallTime at;
    Item item;
  };

  void FoldClaim(Offset aOffset, WallTime aAt, const Claim& aClaim);
  void FoldOutcome(WallTime aAt, const ClaimOutcome& aOutcome);
  [[nodiscard]] CompactId Compact(const RecordId& aId);

  Milliseconds lifetime;
  Offset nextOffset = 0; ///< First unread offset.
  WallTime latestTime;   ///< Latest timestamp of a record.
  std::unordered_map<ClaimKey, Entry, ClaimKeyHash> entries;
  std::unordered_map<CompactId, WallTime, CompactIdHash> voids; ///< Withdrawn claims.
  std::deque<RetainedRecord> retainedRecords;
  std::deque<ExpiryEntry<ClaimKey>> keyExpiryQueue;
  std::deque<ExpiryEntry<CompactId>> voidExpiryQueue;
  std::vector<std::string> claimants; ///< Incarnations seen; a few bytes for each daemon run.
  std::unordered_map<std::string, ClaimantIndex> claimantIndices;
};

} // namespace lagoonward
