#pragma once

#include "Bench/Decisions/Policy.h"
#include "Bench/Decisions/RunResult.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <deque>
#include <memory>
#include <optional>
#include <queue>

namespace lagoonward::bench {

/// What can happen in a run.
enum class EventKind
{
  Arrival,
  StepEnd,
  Sample,
  CacheNews,
  Heartbeat,
  Notice,
  NoticeSeen,
  Replan,
  Gone,
  Forgotten,
  Replacement,
  Price,
  ServiceDone,
  Retry,
  MoveStart,
  MoveEnd,
  Silence,
  SilenceOver,
  Deadline,
};

/// One thing to happen. `subject` is a host, request, attempt or index of the scenario, by kind.
struct Event
{
  double at = 0;
  std::uint64_t sequence = 0; ///< Events of the same time happen in the order of their making.
  EventKind kind = EventKind::Sample;
  std::uint32_t subject = 0;
  std::uint32_t extra = 0;

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
  std::string service; ///< Empty for an engine.
  double pricePerHour = 0;
  std::unique_ptr<EngineFake> engine;
  bool noticed = false; ///< The cloud has given notice.
  bool leaving = false; ///< The daemons know it.
  bool gone = false;
  bool forgotten = false; ///< No longer on the host list.
  double goneAt = 0;
};

/// A load reading.
struct LoadSample
{
  double at = 0;
  std::vector<std::pair<int, int>> loads; ///< Waiting and running, by host.
};

/// Cache events on their way to the daemons.
struct CacheNews
{
  std::uint32_t host = 0;
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> evicted;
  bool gap = false;
};

/// The fleet of one run, its prices, and what the daemons get to see of it, late. Knows no policy.
class World
{
public:
  World(const Deployment& aDeployment, const Scenario& aScenario, std::uint64_t aSeed);

  /// Adds an event aDelay seconds from now.
  void Schedule(double aDelay, EventKind aKind, std::uint32_t aSubject = 0,
                std::uint32_t aExtra = 0);

  /// Takes the next event and moves the clock there. Nothing when none is left.
  [[nodiscard]] std::optional<Event> Next();

  /// Begins a step of that engine if it has work, and charges it.
  void Kick(std::uint32_t aHost);

  void TakeSample();

  /// The fleet as daemons see it now: hosts as known, loads as of the scenario's lag ago.
  [[nodiscard]] FleetView MakeView() const;

  /// Collects the engines' cache events; each batch is scheduled to be delivered, or to be a gap.
  void CollectCacheNews();

  void GiveNotice(const ReclaimEvent& aReclaim);
  void ChangePrice(const PriceEvent& aChange);

  /// Starts replacements for the domain's lost engines in the other domains.
  void Replace(const ReclaimEvent& aReclaim);

  [[nodiscard]] double Now() const;

  const Deployment& deployment;
  const Scenario& scenario;
  VirtualClock clock;
  Random random;
  ComputedBlocks computed;
  std::vector<HostState> hosts;
  std::deque<CacheNews> cacheNews; ///< By number of the event; entries stay.
  double cost = 0;

private:
  void AddEngine(const EngineSpec& aSpec);
  void AddServices();
  [[nodiscard]] double DomainFactor(std::string_view aDomain) const;
  [[nodiscard]] const LoadSample* VisibleSample() const;

  TimePoint start;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t nextSequence = 0;
  std::deque<LoadSample> samples;
  std::vector<PriceEvent> pricesNow;
};

} // namespace lagoonward::bench
