#pragma once

#include "Lagoonward/Membership/PeerInfo.h"

#include <map>
#include <optional>
#include <set>

namespace lagoonward {

/// Settings of the estimated number of daemons.
struct DaemonCountSettings
{
  /// How long after its start a daemon waits for the external list before it relies on its own peer view. The view of a
  /// daemon that has just started contains the seeds and whichever daemons have answered so far.
  Milliseconds listTimeout{ 1500 };
  /// How long after its start a daemon counts the daemons of the external list, which also contains terminated ones; by
  /// then the failure detector has found the live ones.
  Milliseconds listValidity{ 4000 };
  /// How long a daemon that has disappeared from the view still counts: it may be alive on the other side of a network
  /// partition.
  Milliseconds departedRetention{ 60'000 };
};

/// Estimates the number of daemons between which shared quantities are divided. The estimate must not be too low, since
/// each daemon then takes too large a share: after a restart of all daemons, a daemon that counted only the seeds would
/// take the share of twenty. A daemon that leaves the view therefore counts until it returns or the retention has
/// passed. Not thread-safe.
class DaemonCountEstimator
{
public:
  DaemonCountEstimator(const DaemonCountSettings& aSettings, TimePoint aStartedAt);

  /// Sets the number of daemons in the external list, including this one. Zero: the list has not been read.
  void OnList(int aDaemons);

  void OnPeers(const PeerView& aView, TimePoint aNow);

  /// Number of daemons that may share quantities with this one, including itself; empty while it is not known.
  [[nodiscard]] std::optional<int> Count(TimePoint aNow);

private:
  DaemonCountSettings settings;
  TimePoint startedAt;
  int listed = 0;
  std::set<PeerKey> present;    ///< Daemons in the view.
  std::size_t unidentified = 0; ///< Peers in the view that are known by their address only.
  std::map<PeerKey, TimePoint> departed; ///< When a daemon left the view.
};

} // namespace lagoonward
