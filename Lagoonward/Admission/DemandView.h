#pragma once

#include "Lagoonward/Admission/AdmissionSettings.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace lagoonward {

/// What one daemon sees of one client. Travels in heartbeats.
struct ClientDemand
{
  std::uint64_t client = 0;   ///< Hash of the client's name.
  double tokensPerSecond = 0; ///< Asked for, whether admitted or not.
  int running = 0;            ///< Requests admitted and not finished.
  double admittedTotal = 0;   ///< Tokens admitted since the daemon's start.
};

/// The part of a client's limits that this daemon may hand out.
struct ClientShare
{
  double share = 1;       ///< Of the rate limit; all daemons' shares sum to one.
  int runningAtPeers = 0; ///< As last heard.
};

/// Splits per-client limits between the daemons without a store. Each daemon sends its demand with
/// its heartbeats; the share that it may hand out is computed from what it sent *last but one* and what its peers sent,
/// so that all daemons compute with the same numbers:
///
///   share = equalPart / n + (1 - equalPart) * demand / total demand
///
/// Error bound: with equal views the shares sum to one exactly, also for a client that was silent
/// before (1 / n each). They sum to more only where views differ: by at most the relative change of
/// demand between two heartbeats, and by one whole limit for each further side of a partition that
/// lasts longer than peerTimeout. Not thread-safe; Admission guards it.
class DemandView
{
public:
  DemandView(const AdmissionSettings& aSettings, const Clock& aClock);

  /// Notes what this daemon is about to send; what was noted before becomes the base of its shares.
  void OnOwnSent(std::span<const ClientDemand> aDemand);

  /// Notes what a peer has sent. An empty list is news too: the peer lives.
  void OnPeer(std::uint64_t aDaemon, std::span<const ClientDemand> aDemand);

  /// This daemon's share of one client's limits.
  [[nodiscard]] ClientShare ShareOf(std::uint64_t aClient) const;

  /// Daemons heard of lately, this one included.
  [[nodiscard]] int LiveDaemons() const;

private:
  struct Peer
  {
    TimePoint heard;
    std::vector<ClientDemand> demand;
  };

  [[nodiscard]] bool IsLive(const Peer& aPeer) const;

  AdmissionSettings settings;
  const Clock& clock;
  std::vector<ClientDemand> sentLast;
  std::vector<ClientDemand> sentBefore; ///< Peers have had a heartbeat's time to learn this.
  std::map<std::uint64_t, Peer> peers;
};

} // namespace lagoonward
