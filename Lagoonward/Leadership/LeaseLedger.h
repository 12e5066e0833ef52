#pragma once

#include "Lagoonward/Leadership/LeaseRecord.h"

#include <deque>

namespace lagoonward {

/// A lease record that counts.
struct LeaseInForce
{
  Offset offset = kNoOffset;
  Offset fencing = kNoOffset; ///< Offset of the tenure's first record.
  LeaseRecord record;
};

/// Folds a lease stream into the record in force. Pure: every reader gets the same result from the
/// same log. A record counts only on top of the record in force; model `LeaseAndFencing`.
/// After a gap nothing is taken for in force until a kept record proves it: a record's base was in
/// force when it was written, since writers only write on what they know.
class LeaseLedger
{
public:
  /// Notes the oldest offset that the log keeps. Past NextOffset() it is a gap.
  void ObserveStart(Offset aStart);

  /// Folds one record; unreadable ones and those read before are ignored.
  void Apply(Offset aOffset, std::string_view aData);

  /// The record in force, or nullptr: none yet, or unknown.
  [[nodiscard]] const LeaseInForce* InForce() const;

  /// False between a gap and the record that ends it.
  [[nodiscard]] bool IsCertain() const;

  /// After a gap: the longest lease that any kept record grants.
  [[nodiscard]] Milliseconds LongestPending() const;

  /// First offset not yet read.
  [[nodiscard]] Offset NextOffset() const;

private:
  struct Pending
  {
    Offset offset = kNoOffset;
    LeaseRecord record;
  };

  void Fold(Offset aOffset, const LeaseRecord& aRecord);
  void FoldUncertain(Offset aOffset, const LeaseRecord& aRecord);
  void ResumeAt(std::size_t aIndex);

  std::optional<LeaseInForce> inForce;
  Offset next = 0;             ///< First offset not yet read.
  bool certain = true;         ///< False after a gap.
  Offset gapEnd = 0;           ///< Oldest offset that was kept when the gap was found.
  std::deque<Pending> pending; ///< Read since the gap; bounded.
};

} // namespace lagoonward
