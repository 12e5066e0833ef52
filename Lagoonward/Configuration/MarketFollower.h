#pragma once

#include "Lagoonward/Configuration/ConfigurationFollowerSettings.h"
#include "Lagoonward/Configuration/ConfigurationHistory.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <functional>
#include <mutex>

namespace lagoonward {

/// Callbacks and ids that a follower needs from the rest of the daemon. All functions must be thread-safe.
struct ConfigurationFollowerHooks
{
  /// Queries a few peers for the configuration in force in a market. May block for a short time. May be empty.
  std::function<std::vector<ConfigurationOffer>(const std::string& aMarket)> queryPeers;

  /// Ids of the live daemons that follow the same markets, this one included. May be empty.
  std::function<std::vector<std::string>()> liveDaemons;

  /// Called for each change, in order. Must not call non-const functions of the follower.
  std::function<void(const ConfigurationPtr& aConfiguration)> onChange;

  std::string daemonId;    ///< This daemon's id, as in liveDaemons.
  std::string incarnation; ///< This run of this daemon.
};

/// Read state of one market, for `/status`.
struct MarketStatus
{
  std::string market;
  Offset offset = kNoOffset; ///< Offset in force.
  Offset nextOffset = 0;     ///< First record not yet read.
  bool certain = true;       ///< False while a gap leaves the configuration in force uncertain.
  bool logReachable = false; ///< Whether the last read succeeded.
  Offset newestCheckpoint = kNoOffset;
};

/// Follows the stream of one market: reads and folds the records, reports changes, queries peers while the
/// log does not determine the configuration in force, and writes the checkpoint again before it expires.
/// Step() is called by one thread in a loop; the other functions are safe from any thread.
class MarketFollower
{
public:
  /// All references must outlive the follower.
  MarketFollower(std::string aMarket, const ConfigurationFollowerSettings& aSettings,
                 const ConfigurationFollowerHooks& aHooks, LogService& aLog, const Clock& aClock);

  /// One read of the log; blocks for up to `pollWait`.
  /// @return how long to wait before the next call
  [[nodiscard]] Milliseconds Step();

  /// Adopts a peer's configuration if it is newer.
  void Adopt(const ConfigurationOffer& aOffer);

  /// The configuration in force, or nullptr.
  [[nodiscard]] ConfigurationPtr Current() const;

  /// The state to send to peers.
  [[nodiscard]] ConfigurationOffer Offer() const;

  [[nodiscard]] MarketStatus Status() const;

private:
  void QueryPeers();
  [[nodiscard]] bool NeedsPeers() const;
  void Fold(const LogPage& aPage);
  void Report(const ConfigurationHistory::Events& aEvents) const;
  void PublishChange();
  void WriteCheckpointIfDue(const LogPage& aPage);
  [[nodiscard]] bool CheckpointIsDue(Offset aStart) const;
  [[nodiscard]] std::size_t CheckpointRank() const;
  void SetLogReachable(bool aReachable);

  const std::string market;
  const ConfigurationFollowerSettings& settings;
  const ConfigurationFollowerHooks& hooks;
  LogService& log;
  const Clock& clock;

  // Used by Step() only
  Backoff backoff;
  std::uint64_t nextSequence = 0;         ///< Of the next checkpoint that is written.
  std::optional<TimePoint> lastPeerQuery; ///< Time of the last peer queries.
  TimePoint checkpointSeen;               ///< Time of the last checkpoint read or attempted.
  Milliseconds checkpointJitter{ 0 };     ///< Chosen at random for each checkpoint.
  std::mt19937_64 random;

  std::mutex foldMutex; ///< Guards `history` and serializes the calls of onChange.
  ConfigurationHistory history;

  mutable std::mutex stateMutex; ///< Guards `offer` and `status`.
  ConfigurationOffer offer;
  MarketStatus status;
};

} // namespace lagoonward
