#pragma once

#include "Lagoonward/Configuration/ConfigurationFollowerSettings.h"
#include "Lagoonward/Configuration/ConfigurationHistory.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <functional>
#include <mutex>

namespace lagoonward {

/// What a follower needs from the rest of the daemon. Every function must be safe from any thread.
struct ConfigurationFollowerHooks
{
  /// Asks a few peers what is in force in a market; may block for a short time. May be empty.
  std::function<std::vector<ConfigurationOffer>(const std::string& aMarket)> askPeers;

  /// Ids of the live daemons that follow the same markets, this one included. May be empty.
  std::function<std::vector<std::string>()> liveDaemons;

  /// Told of each change, in order. Must not call back into the follower, but for its queries.
  std::function<void(const ConfigurationPtr& aConfiguration)> onChange;

  std::string daemonId;    ///< This daemon's id, as in liveDaemons.
  std::string incarnation; ///< This run of this daemon.
};

/// How far the following of one market has come, for `/status`.
struct MarketStatus
{
  std::string market;
  Offset offset = kNoOffset; ///< In force here.
  Offset nextOffset = 0;     ///< First record not yet read.
  bool certain = true;       ///< False while records that lapsed unread leave it open.
  bool logReachable = false; ///< Whether the last read was answered.
  Offset newestCheckpoint = kNoOffset;
};

/// Follows the stream of one market: reads, folds, tells of changes, asks peers where the log cannot
/// tell, and repeats the checkpoint before it lapses. Step() is called by one thread in a loop; the
/// other functions are safe from any thread.
class MarketFollower
{
public:
  /// All references must outlive the follower.
  MarketFollower(std::string aMarket, const ConfigurationFollowerSettings& aSettings,
                 const ConfigurationFollowerHooks& aHooks, LogService& aLog, const Clock& aClock);

  /// One round; blocks in the read for up to `pollWait`.
  /// @return how long to wait before the next round
  [[nodiscard]] Milliseconds Step();

  /// Takes what a peer has in force, if it is newer.
  void Adopt(const ConfigurationOffer& aOffer);

  /// What is in force, or nullptr.
  [[nodiscard]] ConfigurationPtr Current() const;

  /// What to tell peers.
  [[nodiscard]] ConfigurationOffer Offer() const;

  [[nodiscard]] MarketStatus Status() const;

private:
  void AskPeers();
  [[nodiscard]] bool NeedsPeers() const;
  void Fold(const LogPage& aPage);
  void Report(const ConfigurationHistory::Events& aEvents) const;
  void PublishChange();
  void WriteCheckpointIfDue(const LogPage& aPage);
  [[nodiscard]] bool CheckpointIsDue(Offset aStart) const;
  [[nodiscard]] std::size_t CheckpointRank() const;
  void SetReachable(bool aReachable);

  const std::string market;
  const ConfigurationFollowerSettings& settings;
  const ConfigurationFollowerHooks& hooks;
  LogService& log;
  const Clock& clock;

  // Used by Step() only
  Backoff backoff;
  std::uint64_t nextSequence = 0;      ///< Of the next checkpoint written.
  std::optional<TimePoint> peersAsked; ///< Last round of asking peers.
  TimePoint checkpointSeen;            ///< When the newest checkpoint was read or tried.
  Milliseconds checkpointJitter{ 0 };  ///< Drawn anew for each checkpoint.
  std::mt19937_64 random;

  std::mutex foldMutex; ///< Guards `history`, and keeps onChange calls in order.
  ConfigurationHistory history;

  mutable std::mutex stateMutex; ///< Guards what the queries read.
  ConfigurationOffer offer;
  MarketStatus status;
};

} // namespace lagoonward
