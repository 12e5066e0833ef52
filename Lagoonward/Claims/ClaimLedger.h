#pragma once

#include "Lagoonward/Claims/ClaimRecord.h"
#include "Lagoonward/Configuration/Manifest.h"

#include <deque>
#include <unordered_map>

namespace lagoonward {

/// Who holds a key.
struct ClaimHolder
{
  RecordId id; ///< Of the claim that won.
  std::uint64_t bodyHash = 0;
  Ran ran = Ran::Unknown; ///< Yes once its claimant recorded so.
  Offset offset = kNoOffset;
};

/// Folds the records of one stream `claims/REGION/SHARD` into who holds which key. The first claim by
/// offset, and by place within a record, wins; an outcome "no" frees the key again and voids every
/// copy of that claim that lands later. Any later claim of a held key, though it loses, keeps the key
/// held for another lifetime, so that readers whose clocks or lifetimes differ never see two winners
/// within the shorter lifetime. docs/design/at-most-once.md has the argument. Not thread-safe.
class ClaimLedger
{
public:
  /// @param aLifetime  how long after its last claim a key stays held; the log's retention must be
  ///                   longer
  explicit ClaimLedger(Milliseconds aLifetime);

  /// What reading the stream's position told.
  struct StartReport
  {
    Offset skipped = 0;             ///< Records that lapsed unread.
    bool retentionTooShort = false; ///< Records younger than the lifetime have lapsed.
  };

  /// Notes the oldest offset that the log still keeps.
  [[nodiscard]] StartReport ObserveStart(Offset aStart, WallTime aNow);

  /// What one record was.
  struct AppliedRecord
  {
    std::optional<RecordId> author; ///< Nothing if the record was invalid or read before.
    JsonFaults faults;              ///< Of an invalid record, which every reader skips.
  };

  /// Folds one record; one that was read before is ignored.
  AppliedRecord Apply(Offset aOffset, std::string_view aData);

  /// As Apply(), for a record that is parsed already.
  void Fold(Offset aOffset, const ClaimRecord& aRecord);

  /// Who holds the key at a moment, if anybody does.
  [[nodiscard]] std::optional<ClaimHolder> Find(const ClaimKey& aKey, WallTime aNow) const;

  /// The latest time that a record bore. A new record must not bear an earlier one, so that an author
  /// whose clock lags makes no key look old.
  [[nodiscard]] WallTime LatestTime() const;

  /// Whether the claim was withdrawn by an outcome "no".
  [[nodiscard]] bool IsVoid(const RecordId& aId) const;

  /// First offset not yet read.
  [[nodiscard]] Offset NextOffset() const;

  /// Forgets what is older than the lifetime and a margin.
  void Forget(WallTime aNow);

  [[nodiscard]] std::size_t Size() const;

private:
  using ClaimantIndex = std::uint32_t;

  /// A claim's identity, with its incarnation as an index into `claimants`.
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
  /// Laid out so that nothing is padded but the last word; millions of them are kept.
  struct Entry
  {
    std::uint64_t sequence = 0; ///< With `claimant`: the id of the claim that won.
    std::uint64_t bodyHash = 0;
    Offset offset = kNoOffset;
    WallTime lastClaim; ///< Of the last claim of the key, won or lost.
    ClaimantIndex claimant = 0;
    Ran ran = Ran::Unknown;

    [[nodiscard]] CompactId Id() const { return { this->claimant, this->sequence }; }
  };
  /// One folded record; tells how long the log keeps them.
  struct RecordMemory
  {
    WallTime at;
    Offset offset = kNoOffset;
  };
  /// Something to look at again when it may be forgotten, in the order in which it was folded.
  template<typename Item>
  struct Memory
  {
    WallTime at;
    Item item;
  };

  void FoldClaim(Offset aOffset, WallTime aAt, const Claim& aClaim);
  void FoldOutcome(WallTime aAt, const ClaimOutcome& aOutcome);
  [[nodiscard]] CompactId Compact(const RecordId& aId);

  Milliseconds lifetime;
  Offset next = 0; ///< First offset not yet read.
  WallTime latest; ///< Latest time that a record bore.
  std::unordered_map<ClaimKey, Entry, ClaimKeyHash> entries;
  std::unordered_map<CompactId, WallTime, CompactIdHash> voids; ///< Withdrawn claims.
  std::deque<RecordMemory> recordMemories;
  std::deque<Memory<ClaimKey>> keyMemories;
  std::deque<Memory<CompactId>> voidMemories;
  std::vector<std::string> claimants; ///< Incarnations seen; a few bytes for each run of a daemon.
  std::unordered_map<std::string, ClaimantIndex> claimantIndices;
};

} // namespace lagoonward
