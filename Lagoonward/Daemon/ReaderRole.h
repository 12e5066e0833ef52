#pragma once

#include "Lagoonward/Core/Clock.h"

#include <atomic>

namespace lagoonward {

/// Settings of ReaderRole. See EndpointReplicatorSettings for how they are derived.
struct ReaderRoleSettings
{
  /// Age of a snapshot at which the two highest-ranked daemons read the source: two messages missed.
  Milliseconds readerStalenessLimit{ 900 };

  /// The other aggregators wait up to this much longer, in the order of their ranks, and all other daemons twice that, so
  /// that a failure of the reader does not make all daemons read at once.
  Milliseconds stalenessLimitStep{ 142 };
};

/// Decides whether this daemon reads the source on behalf of all daemons, and sends them what it has read.
///
/// The highest-ranked aggregator always does. Rank follows from membership alone, so that daemon may be alive and yet
/// unable to read, or read too late. Any other aggregator therefore reads for all while the newest snapshot that it has
/// received from a reader of higher rank is older than its staleness limit. Its own reads do not count for that: it goes
/// on until a reader of higher rank supplies it again. Aggregators need no agreement: where two of them begin at once, the
/// lower-ranked one receives the other's updates and ends. Daemons that are not aggregators never read for all.
///
/// The setters are called on the control thread; the queries on any thread.
class ReaderRole
{
public:
  /// The clock must outlive it.
  ReaderRole(const ReaderRoleSettings& aSettings, const Clock& aClock);

  /// Sets the rank of this daemon among all aggregators, zero being the highest, and their number. A daemon that is not
  /// an aggregator has that number as its rank.
  void SetRank(int aRank, int aAggregators);

  /// A received snapshot contains everything that the source had acknowledged before a BootNow() time.
  /// @param aReaderRank  of the daemon that had read the source
  void OnUpdate(TimePoint aAsOf, int aReaderRank);

  [[nodiscard]] bool ReadsForOthers() const;

  /// Age of the snapshot at which this daemon reads the source directly.
  [[nodiscard]] Milliseconds StalenessLimit() const;

  [[nodiscard]] int Rank() const { return this->rank; }
  [[nodiscard]] bool IsAggregator() const { return this->rank < this->aggregators; }

  /// Age of the newest snapshot from a reader of higher rank; time since the start if there is none.
  [[nodiscard]] Milliseconds SuppliedAge() const;

private:
  ReaderRoleSettings settings;
  const Clock& clock;
  std::atomic<int> rank{ 0 };
  std::atomic<int> aggregators{ 1 };
  std::atomic<TimePoint> suppliedAsOf; ///< BootNow(); see SuppliedAge().
};

} // namespace lagoonward
