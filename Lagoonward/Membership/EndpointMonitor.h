#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Membership/EndpointFact.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/Messages.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Tracks the load and the state (live, ejected, leaving) of the region's endpoints. Each endpoint is polled by a few
/// daemons of its region, its pollers, chosen by rendezvous hashing. The samples are disseminated from daemon to
/// daemon. Of two samples the one that is newer by the endpoint's own clock wins. `Leaving` is final.
///
/// When a poller fails, the other pollers continue. Once the peer table has removed it, the next daemon in rendezvous
/// order replaces it. Until then samples arrive less often, which is visible in their age.
///
/// Performs no I/O; the clock is passed in. Not thread-safe.
class EndpointMonitor
{
public:
  EndpointMonitor(const Clock& aClock, PeerKey aSelf, EndpointMonitorSettings aSettings);

  /// Replaces the endpoints of the region. Facts of endpoints that are still listed are kept. A `Leaving` update that
  /// arrived before the host list named its endpoint is applied now, or kept until its grace period has ended.
  void SetEndpoints(std::vector<HostEntry> aEndpoints);

  /// Sets the daemons from which pollers are chosen, including this one.
  void SetPollers(std::span<const PeerKey> aDaemons);

  /// Endpoints to poll now. Their polls are recorded as started.
  [[nodiscard]] std::vector<HostEntry> DuePolls();

  /// Handles the result of a poll.
  void OnPolled(const std::string& aEndpointId, const Result<EndpointLoad>& aLoad);

  /// Handles a state observed by this daemon. @return whether the known state changed
  bool Report(const std::string& aEndpointId, EndpointState aState, Milliseconds aGrace);

  /// Merges a fact received from a peer. @return whether it was new; new facts are queued for dissemination
  bool Merge(const EndpointLoadUpdate& aFact);
  bool Merge(const EndpointStateUpdate& aFact);

  /// Takes queued load facts for one datagram, limited by aBytes and by the byte budget. The remaining ones stay queued
  /// for the next round and may be replaced by newer samples until then.
  /// @param aReceivers  number of peers that get each fact; the budget counts every copy
  [[nodiscard]] std::vector<EndpointLoadUpdate> TakeLoads(std::size_t aBytes,
                                                          std::size_t aReceivers);

  /// Takes queued state facts, at most aLimit.
  [[nodiscard]] std::vector<EndpointStateUpdate> TakeStates(std::size_t aLimit);

  /// All state facts that differ from the initial state.
  [[nodiscard]] std::vector<EndpointStateUpdate> AllStates() const;

  /// All load facts that are not stale.
  [[nodiscard]] std::vector<EndpointLoadUpdate> AllLoads() const;

  /// Stores a profile received from a peer.
  void AddProfile(EndpointProfile aProfile);

  /// A profile by hash, or nullptr if it must be requested from a peer.
  [[nodiscard]] const EndpointProfile* FindProfile(std::uint32_t aHash) const;

  /// All endpoints, unordered.
  [[nodiscard]] const std::unordered_map<EndpointKey, EndpointFact>& Facts() const;

  /// Load of a fact in the form used by routing; nothing if it is stale or its profile is unknown.
  [[nodiscard]] std::optional<EndpointLoad> LoadOf(const EndpointFact& aFact) const;

  /// Number of endpoints that this daemon polls.
  [[nodiscard]] std::size_t PolledCount() const;

  /// Digest of all states. Equal on daemons that have the same states.
  [[nodiscard]] std::uint64_t StateDigest() const;

private:
  /// Poll schedule of an endpoint that this daemon polls.
  struct PollState
  {
    TimePoint nextPoll;
    std::size_t failures = 0;
    TimePoint failingSince;
    std::optional<TimePoint> pollStartedAt; ///< Start of a poll that has not completed.
  };

  /// A `Leaving` update of an endpoint that the host list does not name yet.
  struct PendingUpdate
  {
    EndpointStateUpdate fact;
    TimePoint availableUntil;
  };

  void UpdatePolledEndpoints();
  void OnPollFailed(EndpointFact& aFact, PollState& aPollState);
  void OnPollSucceeded(EndpointFact& aFact, PollState& aPollState, const EndpointLoad& aLoad);
  void ApplyState(EndpointFact& aFact, const EndpointStateUpdate& aUpdate);
  void QueueLoad(EndpointFact& aFact, const EndpointLoadUpdate& aSample, TimePoint aObservedAt);
  void RefillBudget();
  void ExpireTombstones();
  [[nodiscard]] bool ShouldPublish(const EndpointFact& aFact,
                                   const EndpointLoadUpdate& aSample) const;
  [[nodiscard]] EndpointLoadUpdate ToFact(EndpointKey aKey, const EndpointLoad& aLoad);
  [[nodiscard]] EndpointLoadUpdate WithAge(EndpointLoadUpdate aSample, TimePoint aObservedAt) const;
  [[nodiscard]] EndpointStateUpdate WithGrace(const EndpointFact& aFact) const;
  [[nodiscard]] bool IsFresh(const EndpointFact& aFact) const;

  const Clock& clock;
  PeerKey self;
  EndpointMonitorSettings settings;
  std::vector<PeerKey> daemons;
  std::unordered_map<EndpointKey, EndpointFact> facts;
  std::unordered_map<EndpointKey, PollState> pollStates;
  std::unordered_map<EndpointKey, PendingUpdate> pendingUpdates;
  std::unordered_map<EndpointKey, TimePoint> tombstones; ///< Unlisted endpoints: time of removal.
  std::unordered_map<std::uint32_t, EndpointProfile> profiles;
  std::vector<EndpointKey> queuedLoads; ///< Queued for dissemination, oldest first.
  std::vector<EndpointKey> queuedStates;
  double budget; ///< Bytes of load facts that may be sent now.
  TimePoint refilledAt;
};

} // namespace lagoonward
