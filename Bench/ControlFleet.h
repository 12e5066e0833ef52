#pragma once

#include "Bench/SyntheticLoads.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Membership/MembershipService.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace lagoonward::bench {

/// Size of one measured fleet.
struct FleetSize
{
  std::size_t daemons = 8;
  std::size_t endpoints = 13;
  std::size_t regions = 1;
};

/// What one daemon has used so far.
struct ControlUsage
{
  TransportCounters counters;
  std::chrono::nanoseconds cpu{ 0 };
  std::size_t watched = 0;      ///< Endpoints that it polls.
  std::vector<double> loadAges; ///< Milliseconds since each known load was read.
};

/// Waits until something is known on all daemons, and keeps when each learned of it.
class ArrivalBoard
{
public:
  /// Begins a new round over that many daemons.
  void Begin(std::size_t aDaemons, const Clock& aClock);

  /// Notes that one daemon has learned of it; later calls of the same round change nothing.
  void Arrive(std::size_t aDaemon, const Clock& aClock);

  /// Waits until all have, or the time is over.
  /// @return milliseconds that each daemon took; those that never learned of it are missing
  [[nodiscard]] std::vector<double> Wait(Milliseconds aTimeout);

private:
  std::mutex mutex;
  TimePoint begun;
  std::vector<double> arrived; ///< Negative until a daemon has arrived.
  std::atomic<std::size_t> missing{ 0 };
};

/// Many daemons' control planes in this process, each with its own control thread and sockets on
/// loopback, before endpoints that exist only as SyntheticLoads.
class ControlFleet
{
public:
  explicit ControlFleet(FleetSize aSize);
  ~ControlFleet();

  /// Starts all daemons and gives them the host list.
  [[nodiscard]] Result<void> Start();

  /// Stops a daemon without a word.
  void Kill(std::size_t aDaemon);

  [[nodiscard]] MembershipService& Daemon(std::size_t aIndex);
  [[nodiscard]] std::size_t Size() const;
  [[nodiscard]] const Clock& GetClock() const;
  [[nodiscard]] std::vector<ControlUsage> Usage();

  /// Times until endpoints that daemon 0 reports as leaving are known on all daemons of its region.
  /// @param aIndexes  endpoints of region 0, by number within the region
  [[nodiscard]] std::vector<double> SpreadReclaim(std::span<const std::size_t> aIndexes);

  /// Times until a shared state that one daemon publishes is in force on all.
  [[nodiscard]] std::vector<double> SpreadState(std::size_t aDaemon, std::size_t aBytes);

  /// Times until a shared state that every daemon reads from a log is in force on all.
  [[nodiscard]] std::vector<double> FollowLog(std::size_t aBytes);

  /// Times until a new endpoint, which only the readers of the host list see, is known on all daemons
  /// of region 0.
  [[nodiscard]] std::vector<double> SpreadHost();

  /// Bytes of the host list as it is shared within region 0.
  [[nodiscard]] std::size_t SharedListBytes() const;

  /// Lets every daemon place soft records at a steady rate.
  /// @return records placed in all
  [[nodiscard]] std::size_t PlaceRecords(std::size_t aPerSecond, Seconds aSpan);

  /// Times until the others of its region have removed a daemon that was killed.
  [[nodiscard]] std::vector<double> DetectDeath(std::size_t aDaemon);

private:
  [[nodiscard]] std::vector<HostEntry> MakeHosts() const;
  [[nodiscard]] std::string EndpointId(std::size_t aIndex) const;
  [[nodiscard]] SharedState NextState(std::size_t aBytes);

  SystemClock clock;
  FleetSize size;
  SyntheticLoads loads;
  std::vector<std::unique_ptr<MembershipService>> daemons;
  ArrivalBoard board;
  std::mutex expectationMutex;
  std::vector<EndpointKey> expectedLeaving; ///< Guarded by expectationMutex.
  EndpointKey expectedHost = 0;             ///< Guarded by expectationMutex.
  PeerKey expectedDead = 0;                 ///< Guarded by expectationMutex.
  std::vector<HostEntry> addedHosts;        ///< Beside those of the fleet's size.
  std::int64_t lastVersion = 0;
};

} // namespace lagoonward::bench
