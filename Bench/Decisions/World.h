#pragma once

#include "Bench/Decisions/Policy.h"
#include "Bench/Decisions/RunResult.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <deque>
#include <memory>
#include <optional>
#include <queue>

namespace lagoonward::bench {

/// Kinds of simulation events.
enum class EventKind
{
  Arrival,
  StepEnd,
  Sample,
  CacheUpdate,
  Heartbeat,
  ReclaimNotice,
  NoticeVisible,
  Replan,
  HostTerminated,
  HostDelisted,
  Replacement,
  PriceChange,
  ServiceDone,
  Retry,
  MoveStart,
  MoveEnd,
  ConnectionStall,
  StallTimeout,
  Deadline,
};

/// A scheduled event. Depending on the kind, `subject` is a host, a request, an attempt, a cache update, or an index
/// into the scenario's reclaims or price changes.
struct Event
{
  double at = 0;
  std::uint64_t sequence = 0; ///< Events of equal time are processed in the order of scheduling.
  EventKind kind = EventKind::Sample;
  std::uint32_t subject = 0;
  std::uint32_t extra = 0; ///< MoveStart: twice the plan number, plus 1 for a KV cache transfer.

  friend bool operator>(const Event& aLeft, const Event& aRight)
  {
    return aLeft.at != aRight.at ? aLeft.at > aRight.at : aLeft.sequence > aRight.sequence;
  }
};

/// One host of the fleet.
struct HostState
{
  std::string id;
  std::string failureDomain;
  std::string service; ///< Name of the plain service; empty for an engine.
  double pricePerHour = 0;
  std::unique_ptr<EngineFake> engine;
  bool reclaimNoticed = false; ///< The cloud provider has announced its reclaim.
  bool leaving = false;        ///< The reclaim notice has reached the daemons.
  bool terminated = false;     ///< Terminated.
  bool delisted = false;       ///< Removed from the host list.
  double terminatesAt = 0;     ///< Time of termination, in seconds from the start.
};

/// A sample of the load of all hosts.
struct LoadSample
{
  double at = 0;
  std::vector<std::pair<int, int>> loads; ///< Waiting and running requests, by host.
};

/// Cache events of one host that are in transit to the daemons.
struct CacheUpdate
{
  std::uint32_t host = 0;
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> evicted;
  bool gap = false; ///< The events were lost; daemons see only the gap.
};

/// State of the simulated fleet of one run: hosts, prices, the event queue, and the delayed view that daemons have of
/// it. Independent of the policy. Not thread-safe. Times are in seconds from the start.
class World
{
public:
  World(const Deployment& aDeployment, const Scenario& aScenario, std::uint64_t aSeed);

  /// Schedules an event aDelay seconds from now.
  void Schedule(double aDelay, EventKind aKind, std::uint32_t aSubject = 0,
                std::uint32_t aExtra = 0);

  /// Removes the next event and advances the clock to its time.
  /// @return nothing if no event is left
  [[nodiscard]] std::optional<Event> Next();

  /// Begins an engine step if the engine is idle and has work, and adds the price of the step to `cost`.
  void StartEngineStep(std::uint32_t aHost);

  /// Records the current load of all hosts.
  void TakeSample();

  /// The fleet as daemons see it now: hosts as on the host list, loads as of `Scenario::reportLag` seconds ago.
  [[nodiscard]] FleetView MakeView() const;

  /// Collects the engines' cache events and schedules their delivery. A batch is lost with probability
  /// `Scenario::gapChance`; a gap is delivered in its place.
  void CollectCacheUpdates();

  /// Announces the reclaim of a domain's engines and schedules their termination.
  void GiveNotice(const ReclaimEvent& aReclaim);
  /// Applies a price change to the engines of a domain, running and future ones.
  void ChangePrice(const PriceEvent& aChange);

  /// Adds engines in other domains as replacements for the reclaimed engines of a domain.
  void AddReplacements(const ReclaimEvent& aReclaim);

  [[nodiscard]] double Now() const;

  const Deployment& deployment;
  const Scenario& scenario;
  VirtualClock clock;
  Random random;
  ComputedBlocks computed;
  std::vector<HostState> hosts;
  std::deque<CacheUpdate> cacheUpdates; ///< Indexed by Event::subject; entries are never removed.
  double cost = 0;

private:
  void AddEngine(const EngineSpec& aSpec);
  void AddServices();
  /// Current price factor of a failure domain.
  [[nodiscard]] double DomainPriceFactor(std::string_view aDomain) const;
  /// Latest sample that is at least `Scenario::reportLag` seconds old, or null.
  [[nodiscard]] const LoadSample* VisibleSample() const;

  TimePoint start;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t nextSequence = 0;
  std::deque<LoadSample> samples;
  std::vector<PriceEvent> priceChanges; ///< Price changes so far; the last one of a domain applies.
};

} // namespace lagoonward::bench
