#pragma once

#include "Lagoonward/Daemon/FleetManagerSettings.h"
#include "Lagoonward/Leadership/LeaseManager.h"

#include <memory>
#include <mutex>

namespace lagoonward {

/// State of a lease, for `/status`.
struct LeaseStatus
{
  std::string market;
  std::string
    holder; ///< Daemon that leads according to the log as far as it was read; empty for none.
  bool held = false;          ///< Whether this daemon holds the lease now.
  Offset fencing = kNoOffset; ///< Of the current tenure.
};

/// Takes part in the election of one market's leader: reads the lease stream, appends the records that the LeaseManager
/// requests, and logs each change of leader. Step() is called in a loop by one thread, which is not the one that sends
/// orders, so that slow orders do not delay a renewal. The other methods are thread-safe.
///
/// When the log has been restored from an older copy, the records read before may be gone and their offsets mean others:
/// whoever notices gives up what it holds, reads all anew and waits until any lease that was lost has ended. Fencing numbers
/// contain the log's epoch and so never go back.
class LeaseFollower
{
public:
  /// References must outlive it.
  /// @param aIncarnation  identifies this run of the daemon
  LeaseFollower(const FleetManagerSettings& aSettings, std::string aMarket,
                const std::string& aRegion, std::string aDaemonId, std::string aIncarnation,
                LogService& aLog, const Clock& aClock);

  /// Reads the stream once, and appends a record if one is due. A holder skips the read while its append directly
  /// follows the records that it has read: a record of another daemon would stand between. A daemon that receives the
  /// leader's own announcements skips the read, too.
  /// @param aRank              rank among the region's daemons; zero is the first candidate
  /// @param aAnnouncedFencing  fencing number of another daemon that has just announced its lead; kNoOffset for none
  /// @param aKnownEpoch        epoch of the log as far as this daemon has learned it otherwise: a later one than that of the
  ///                           records read so far makes it read
  /// @return how long to wait before the next step
  [[nodiscard]] Milliseconds Step(int aRank, Offset aAnnouncedFencing = kNoOffset,
                                  std::int64_t aKnownEpoch = 0);

  /// See LeaseManager::Authorize().
  [[nodiscard]] Result<OrderGrant> Authorize(OrderKind aKind, bool aChecksFencing) const;

  /// Resigns the lease and is no candidate again, for a drain.
  void Resign();

  /// Resigns the tenure with that fencing number, since an endpoint has seen a newer one, and becomes a candidate again
  /// afterwards. Has no effect on any other tenure.
  void Abandon(Offset aFencing);

  [[nodiscard]] LeaseStatus Status() const;

  /// Last time, on Clock::BootNow(), at which another daemon led or may have led: its record was in force, for however
  /// short a time, or it was unknown whose record was. Initially the time of construction, since an earlier run on this
  /// host may have led and been succeeded.
  [[nodiscard]] TimePoint OtherLeaderSeenAt() const;

private:
  /// Whether a page is of another history of the log than the records read so far.
  [[nodiscard]] bool IsOtherHistory(const LogPage& aPage) const;
  /// Forgets all records read so far.
  void BeginEpoch(const LogPage& aPage);
  /// Fencing number of a tenure; kNoOffset for none.
  [[nodiscard]] Offset FencingNumberOf(Offset aTenure) const;
  void ApplyPage(const LogPage& aPage);
  /// Appends a record.
  /// @return whether it is known to have taken effect, directly after the records read so far
  [[nodiscard]] bool Append(const std::string& aRecord);
  /// Whether the announced tenure is the current or a newer one. An older one is known to have ended.
  [[nodiscard]] bool IsCurrentTenure(Offset aAnnouncedFencing) const;
  void RecordOtherLeader();
  void LogChanges();
  void RestartCandidacy();
  [[nodiscard]] bool IsOwnTenure() const;
  [[nodiscard]] std::string IncarnationName() const;

  const FleetManagerSettings& settings;
  const std::string market;
  const std::string stream;
  const std::string daemonId;
  const std::string incarnation;
  LogService& log;
  const Clock& clock;
  bool logResponds = true; ///< Whether the log responds. Used by Step() only, like `mustRead`.
  bool mustRead =
    true; ///< The outcome of the last append is unknown, so that it must be read back.

  mutable std::mutex mutex;          ///< Guards all members below.
  std::optional<std::int64_t> epoch; ///< Of the records read so far; empty before the first read.
  int candidacies = 0; ///< Number of candidacies begun after an abandoned tenure or a restore.
  std::unique_ptr<LeaseManager> leaseManager;
  LeaseLedger ledger; ///< Reads the same stream to determine the current tenure.
  TimePoint otherLeaderSeenAt;
  bool resigned = false;
  bool abandoning = false;
  LeaseStatus lastLogged;
};

} // namespace lagoonward
