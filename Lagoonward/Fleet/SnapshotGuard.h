#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Fleet/SnapshotOrigin.h"

#include <mutex>
#include <optional>
#include <string_view>

namespace lagoonward {

/// Settings of SnapshotGuard. The defaults are for a leaving endpoint that must be known within two seconds.
struct SnapshotGuardSettings
{
  /// Greatest age of a snapshot on which requests are sent without a wait.
  Milliseconds maximumAge{ 1500 };

  /// How long requests wait for a newer snapshot. Reading the source takes some milliseconds; a read that gets no answer
  /// fails within this time, and then the source is known to be lost.
  Milliseconds refreshTimeout{ 1000 };

  /// A pause between two calls of OnTick() of this length means that the process stood still.
  Milliseconds standstill{ 600 };
};

/// Decides whether requests may be sent on the current snapshot of the endpoints. One that is too old may contain
/// endpoints that have left, so requests wait until it has been refreshed. A process that stood still, and continues,
/// has an old snapshot and refreshes it within milliseconds.
///
/// No request waits longer than the refresh timeout, and none waits while the source is known not to answer: if no
/// daemon can reach it, old snapshots are all that there is, and rejecting all requests would serve nobody. After a
/// standstill this daemon does not know whether the source answers. All times are BootNow(). Thread-safe.
class SnapshotGuard
{
public:
  /// The clock must outlive the guard.
  SnapshotGuard(const SnapshotGuardSettings& aSettings, const Clock& aClock);

  /// The snapshot that requests are sent on contains all that the source acknowledged before this time.
  /// @param aOrigin  where that snapshot comes from
  void SetAsOf(TimePoint aAsOf, const SnapshotOrigin& aOrigin = {});

  /// What SetAsOf() has set; nothing until the first snapshot. One that is published later may be newer, none is older.
  [[nodiscard]] std::optional<TimePoint> AsOf();

  /// The source has stopped answering, or answers again.
  void OnSourceReachability(bool aAnswers);

  /// To be called periodically, at intervals well below the standstill setting.
  void OnTick();

  /// Whether a request may be sent now. True until the first snapshot.
  [[nodiscard]] bool MaySend();

private:
  void DetectStandstill(TimePoint aNow);
  /// Logs an event with the age and the origin of the snapshot.
  void LogOldSnapshot(std::string_view aEvent, TimePoint aNow) const;

  SnapshotGuardSettings settings;
  const Clock& clock;
  std::mutex mutex; ///< Guards what follows.
  std::optional<TimePoint> asOf;
  SnapshotOrigin origin; ///< Of the snapshot that is as of then.
  std::optional<TimePoint> lastTick;
  bool isSourceLost = false;
  std::optional<TimePoint> staleSince; ///< When a request was first found to need a newer snapshot.
  bool hasLoggedOldSend = false;       ///< Since then.
};

} // namespace lagoonward
