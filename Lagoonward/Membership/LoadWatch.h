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

  /// Replaces the endpoints of the region. Facts of those that stay are kept. News of a leaving
  /// endpoint that came ahead of the host list is remembered until its grace is over.
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
    std::optional<TimePoint> askedAt; ///< A poll that has not ended.
  };

  /// A leaving endpoint that the host list does not name yet.
  struct EarlyNews
  {
    StateFact fact;
    TimePoint goneAfter;
  };

  void ChooseWatched();
  void OnPollFailed(EndpointFact& aFact, Watch& aWatch);
  void OnPollAnswered(EndpointFact& aFact, Watch& aWatch, const EndpointLoad& aLoad);
  void SetState(EndpointFact& aFact, const StateFact& aUpdate);
  void QueueLoad(EndpointFact& aFact, const LoadFact& aSample, TimePoint aObservedAt);
  void RefillBudget();
  void ForgetDeparted();
  [[nodiscard]] bool IsWorthSpreading(const EndpointFact& aFact, const LoadFact& aSample) const;
  [[nodiscard]] LoadFact ToFact(EndpointKey aKey, const EndpointLoad& aLoad);
  [[nodiscard]] LoadFact WithAge(LoadFact aSample, TimePoint aObservedAt) const;
  [[nodiscard]] StateFact WithGrace(const EndpointFact& aFact) const;
  [[nodiscard]] bool IsFresh(const EndpointFact& aFact) const;

  const Clock& clock;
  PeerKey self;
  LoadWatchSettings settings;
  std::vector<PeerKey> daemons;
  std::unordered_map<EndpointKey, EndpointFact> facts;
  std::unordered_map<EndpointKey, Watch> watched;
  std::unordered_map<EndpointKey, EarlyNews> early;
  std::unordered_map<EndpointKey, TimePoint> departed; ///< Not listed any more, since when.
  std::unordered_map<std::uint32_t, EndpointProfile> profiles;
  std::vector<EndpointKey> dirtyLoads; ///< The longest waiting first.
  std::vector<EndpointKey> dirtyStates;
  double budget; ///< Load bytes that may be sent now.
  TimePoint refilled;
};

} // namespace lagoonward
