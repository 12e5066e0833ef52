#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/Messages.h"
#include "Lagoonward/Platform/PlatformInterfaces.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// What this daemon knows of one endpoint of its region.
struct EndpointFact
{
  HostEntry host;
  EndpointKey key = 0;
  EndpointState state = EndpointState::Live;
  std::uint32_t stateVersion = 0;
  std::optional<TimePoint> goneAfter; ///< Last moment at which a leaving endpoint is promised.
  std::optional<LoadFact> load;       ///< `age` as of arrival; use `observedAt`.
  TimePoint observedAt;               ///< When the load was read, on this daemon's clock.
};

/// Load, state and reclaim news of the region's endpoints. Each endpoint is polled by a few daemons
/// of its region, chosen by rendezvous hashing; what they read spreads from daemon to daemon. Of
/// two readings the one that is newer on the endpoint's own clock wins; `Leaving` is final.
/// When a watcher dies the other ones go on, and as soon as the peer table has removed it the next in
/// rendezvous order takes its place; until then readings come less often and their age shows it.
/// Pure: no I/O, the clock is passed in.
class LoadWatch
{
public:
  LoadWatch(const Clock& aClock, PeerKey aSelf, LoadWatchSettings aSettings);

  /// Replaces the endpoints of the region. Facts of those that stay are kept; facts that came ahead
  /// of the host list are remembered until it names their endpoint.
  void SetEndpoints(std::vector<HostEntry> aEndpoints);

  /// Daemons among which watchers are chosen, this one included.
  void SetWatchers(std::span<const PeerKey> aDaemons);

  /// Endpoints to poll now.
  [[nodiscard]] std::vector<HostEntry> DuePolls();

  /// Takes the result of a poll.
  void OnPolled(const std::string& aEndpointId, const Result<EndpointLoad>& aLoad);

  /// Takes a state that this daemon has learned itself. @return whether it was news
  bool Report(const std::string& aEndpointId, EndpointState aState, Milliseconds aGrace);

  /// Takes facts from a peer. @return whether the fact was news; news is passed on
  bool Merge(const LoadFact& aFact);
  bool Merge(const StateFact& aFact);

  /// Load facts to pass on now, at most what fits aBytes and the byte budget; the ones left over
  /// stay for the next round, by then perhaps replaced by newer readings.
  /// @param aReceivers  peers that will get each of them; the budget counts every copy
  [[nodiscard]] std::vector<LoadFact> TakeLoads(std::size_t aBytes, std::size_t aReceivers);

  /// State facts to pass on now, at most aLimit.
  [[nodiscard]] std::vector<StateFact> TakeStates(std::size_t aLimit);

  /// Every state fact that is not plainly live.
  [[nodiscard]] std::vector<StateFact> AllStates() const;

  /// Every load fact that is fresh.
  [[nodiscard]] std::vector<LoadFact> AllLoads() const;

  /// Adds a profile that a peer has sent.
  void AddProfile(EndpointProfile aProfile);

  /// A profile by hash, or nullptr when it must be asked for.
  [[nodiscard]] const EndpointProfile* FindProfile(std::uint32_t aHash) const;

  /// Everything known, in no order.
  [[nodiscard]] const std::unordered_map<EndpointKey, EndpointFact>& Facts() const;

  /// A fact's load in the form that routing uses; nothing when it is stale or its profile unknown.
  [[nodiscard]] std::optional<EndpointLoad> LoadOf(const EndpointFact& aFact) const;

  /// Endpoints that this daemon polls.
  [[nodiscard]] std::size_t WatchedCount() const;

  /// The same on two daemons that know the same states.
  [[nodiscard]] std::uint64_t StateDigest() const;

private:
  struct Watch
  {
    TimePoint nextPoll;
    std::size_t failures = 0;
    TimePoint failingSince;
    std::optional<LoadFact> published;
    TimePoint publishedAt;
  };

  void ChooseWatched();
  void Eject(const std::string& aEndpointId, Watch& aWatch);
  [[nodiscard]] bool IsWorthPublishing(const Watch& aWatch, const LoadFact& aFact) const;
  [[nodiscard]] LoadFact ToFact(EndpointKey aKey, const EndpointLoad& aLoad);
  [[nodiscard]] LoadFact WithAge(const EndpointFact& aFact) const;
  [[nodiscard]] StateFact ToStateFact(const EndpointFact& aFact) const;
  void StoreLoad(EndpointFact& aTarget, const LoadFact& aFact);
  void ApplyState(EndpointFact& aTarget, EndpointState aState, std::uint32_t aVersion,
                  Milliseconds aGrace);
  void RefillBudget();

  const Clock& clock;
  PeerKey self;
  LoadWatchSettings settings;
  std::vector<PeerKey> daemons;
  std::unordered_map<EndpointKey, EndpointFact> facts;
  std::unordered_map<EndpointKey, Watch> watched;
  std::unordered_map<EndpointKey, StateFact> early; ///< States of endpoints not listed yet.
  std::unordered_map<std::uint32_t, EndpointProfile> profiles;
  std::vector<EndpointKey> dirtyLoads;
  std::vector<EndpointKey> dirtyStates;
  double budget;
  TimePoint refilled;
  std::uint64_t stateDigest = 0;
};

} // namespace lagoonward
