#pragma once

#include "Lagoonward/Admission/AdmissionSettings.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// One client's demand at one daemon. Sent with heartbeats.
struct ClientDemand
{
  std::uint64_t client = 0;   ///< Hash of the client's name.
  double tokensPerSecond = 0; ///< Requested, whether admitted or not.
  int running = 0;            ///< Requests admitted and not finished.
  double admittedTotal = 0;   ///< Tokens admitted since the daemon's start.
};

/// The demand of all clients at the other daemons, summed by the daemon that they report to.
struct AggregatedDemand
{
  std::uint64_t series =
    0;             ///< Identifies the sum; admitted totals of different series are not comparable.
  int daemons = 0; ///< Number of daemons with a recent report.
  std::vector<ClientDemand> demand;
};

/// This daemon's share of a client's limits.
struct ClientShare
{
  double rateShare = 1;   ///< Fraction of the rate limit; the shares of all daemons sum to one.
  int runningAtPeers = 0; ///< As last received.
};

/// Splits per-client limits between the daemons without a store. Each daemon sends its demand with its heartbeats. Its
/// share is computed from the second-last demand that it sent itself and the last demand received from each peer, so
/// that all daemons compute with the same numbers:
///
///   share = evenShare / n + (1 - evenShare) * demand / total demand
///
/// Error bound: with equal views the shares sum to one exactly, also for a client that had no demand before (1 / n
/// each). They sum to more only where views differ: by at most the relative change of demand between two heartbeats,
/// and by one full limit for each further side of a network partition that lasts longer than peerTimeout. Not
/// thread-safe; guarded by Admission.
class DemandView
{
public:
  DemandView(const AdmissionSettings& aSettings, const Clock& aClock);

  /// Records the demand that this daemon is about to send. The demand recorded before it becomes the base of its
  /// shares.
  void OnOwnDemandSent(std::span<const ClientDemand> aDemand);

  /// Records the demand that a peer has sent. An empty list is recorded too, as it shows that the peer is alive.
  /// @param aDaemons  number of daemons that the peer represents
  void OnPeerDemand(std::uint64_t aDaemon, std::span<const ClientDemand> aDemand, int aDaemons = 1);

  /// This daemon's share of one client's limits.
  [[nodiscard]] ClientShare ShareOf(std::uint64_t aClient) const;

  /// Number of daemons with a message within peerTimeout, including this one.
  [[nodiscard]] int LiveDaemons() const;

private:
  struct Peer
  {
    TimePoint receivedAt;
    std::vector<ClientDemand> demand;
    int daemons = 1;
  };

  /// Sum of the demand of all live peers. Updated with each message, so that the cost of computing a share does not
  /// depend on the number of daemons.
  struct PeerSum
  {
    double tokensPerSecond = 0;
    int running = 0;
  };

  [[nodiscard]] bool IsLive(const Peer& aPeer) const;
  void AddToSums(const Peer& aPeer, int aSign) const;
  /// Removes peers whose last message is older than peerTimeout.
  void RemoveStalePeers() const;

  AdmissionSettings settings;
  const Clock& clock;
  std::vector<ClientDemand> lastSent;
  std::vector<ClientDemand> previousSent; ///< Peers have had one heartbeat interval to receive it.
  /// Mutable, as the state of peers also expires between two messages.
  mutable std::unordered_map<std::uint64_t, Peer> peers;
  mutable std::unordered_map<std::uint64_t, PeerSum> sums; ///< By client, over `peers`.
  mutable int peerDaemons = 0;                             ///< Daemons that `peers` represent.
  mutable TimePoint oldestReceivedAt =
    TimePoint::max(); ///< No peer's `receivedAt` is earlier than this.
};

} // namespace lagoonward
