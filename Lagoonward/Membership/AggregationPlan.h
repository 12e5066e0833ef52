#pragma once

#include "Lagoonward/Membership/PeerInfo.h"
#include "Lagoonward/Membership/PeerTransport.h"

#include <vector>

namespace lagoonward {

/// Tunables of the assignment of daemons to aggregation groups.
struct AggregationSettings
{
  /// A failure domain with more daemons is split. This bounds the work of an aggregator: a host with a tenth of a core
  /// answers about 160 reports per second.
  std::size_t maximumGroupSize = 64;

  /// Aggregators per group: a primary computes the sums, and a standby gets the same reports and can take over.
  std::size_t aggregators = 2;

  /// Aggregators of the group if it is the only one, because only aggregators are candidates for election.
  std::size_t aggregatorsOfSingleGroup = 3;
};

/// Assignment of daemons to aggregation groups, and of aggregators to groups. The daemons of one failure domain form a
/// group; its highest-ranked daemons are its aggregators. Group members report their load to them and receive the sum
/// over the deployment from them. Aggregators exchange the sums of their groups. Every daemon computes the plan from
/// its own view of its peers, so plans differ while views differ: a receiver must not assume that it is the right
/// recipient.
struct AggregationPlan
{
  std::uint64_t group = 0; ///< Identifier of this daemon's group.
  std::vector<PeerAddress>
    ownAggregators; ///< Aggregators of this daemon's group, the primary first.
  std::vector<PeerAddress> otherAggregators; ///< Aggregators of all other groups.
  std::vector<PeerAddress> allAggregators;   ///< All aggregators, highest rank first.
  std::vector<PeerAddress> groupMembers;     ///< Daemons of this daemon's group, excluding itself.
  int daemonCount = 1;                       ///< Number of daemons in the plan, including this one.

  /// Whether the daemon is the primary aggregator of this daemon's group.
  [[nodiscard]] bool IsPrimaryAggregator(PeerKey aDaemon) const;

  /// Whether the daemon is one of the aggregators of this daemon's group.
  [[nodiscard]] bool IsAggregator(PeerKey aDaemon) const;

  /// Zero-based rank of a daemon among all aggregators; the number of aggregators if it is not one.
  [[nodiscard]] int RankOf(PeerKey aDaemon) const;
};

/// Computes the plan. Takes time in proportion to the number of daemons; to be called once per view.
/// @param aEligible  whether this daemon may be an aggregator; false while it is leaving
[[nodiscard]] AggregationPlan
MakeAggregationPlan(const PeerInfo& aSelf, bool aEligible, const PeerView& aView,
                    const AggregationSettings& aSettings);

} // namespace lagoonward
