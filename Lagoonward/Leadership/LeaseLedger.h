#pragma once

#include "Lagoonward/Leadership/LeaseRecord.h"

#include <deque>

namespace lagoonward {

/// The lease record in force.
struct LeaseInForce
{
  Offset offset = kNoOffset;
  Offset fencing = kNoOffset; ///< Fencing number: offset of the first record of the tenure.
  LeaseRecord record;
};

/// Folds a lease stream into the record in force. Deterministic: every reader gets the same result from the same log.
/// A record is valid only if it is based on the record in force; see the model `LeaseAndFencing`. After a gap no record
/// is taken to be in force until a retained record proves it: the base of a record was in force when that record was
/// written, since a writer uses as base only a record that it knows to be in force. Not thread-safe.
class LeaseLedger
{
public:
  /// Sets the oldest offset that the log retains. If it is beyond NextOffset(), records are missing: a gap.
  void ObserveStart(Offset aStart);

  /// Folds one record. Malformed records and those already read are ignored.
  void Apply(Offset aOffset, std::string_view aData);

  /// The record in force, or nullptr if there is none yet or it is unknown.
  [[nodiscard]] const LeaseInForce* InForce() const;

  /// False between a gap and the record that ends it.
  [[nodiscard]] bool IsCertain() const;

  /// Longest lease that any record read since a gap grants.
  [[nodiscard]] Milliseconds LongestPendingLease() const;

  /// First offset not yet read.
  [[nodiscard]] Offset NextOffset() const;

private:
  struct Pending
  {
    Offset offset = kNoOffset;
    LeaseRecord record;
  };

  void Fold(Offset aOffset, const LeaseRecord& aRecord);
  void FoldAfterGap(Offset aOffset, const LeaseRecord& aRecord);
  void ResolveGap(std::size_t aIndex);

  std::optional<LeaseInForce> inForce;
  Offset next = 0;             ///< First offset not yet read.
  bool certain = true;         ///< False after a gap.
  Offset gapEnd = 0;           ///< Oldest offset that the log retained when the gap was found.
  std::deque<Pending> pending; ///< Records read since the gap; bounded.
};

} // namespace lagoonward
