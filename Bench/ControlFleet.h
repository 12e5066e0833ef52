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

/// Resources that one daemon's control plane has used since its start.
struct ControlUsage
{
  TransportCounters counters;
  std::chrono::nanoseconds cpu{ 0 };
  std::size_t polledEndpoints = 0;
  std::vector<double> loadAges; ///< Milliseconds since each known load was read.
};

/// Records when a change reaches each daemon and waits until it has reached all. Arrivals may be recorded
/// from any thread.
class PropagationTracker
{
public:
  /// Starts a new measurement over aDaemons daemons.
  void Begin(std::size_t aDaemons, const Clock& aClock);

  /// Records that the change has reached a daemon. Only the first call per daemon and measurement counts.
  void RecordArrival(std::size_t aDaemon, const Clock& aClock);

  /// Waits until the change has reached all daemons, or until the timeout.
  /// @return milliseconds until the change reached each daemon; without the daemons it did not reach
  [[nodiscard]] std::vector<double> WaitForAll(Milliseconds aTimeout);

private:
  std::mutex mutex;
  TimePoint startTime;
  std::vector<double> arrivalTimes; ///< Milliseconds, by daemon; negative until the arrival.
  std::atomic<std::size_t> pendingArrivals{ 0 };
};

/// Control planes of many daemons in this process, each with its own control thread and loopback
/// sockets. The endpoints are simulated: their loads come from SyntheticLoads.
class ControlFleet
{
public:
  explicit ControlFleet(FleetSize aSize);
  ~ControlFleet();

  /// Starts all daemons and applies the host list on each.
  [[nodiscard]] Result<void> Start();

  /// Stops a daemon without announcing to its peers that it leaves.
  void Kill(std::size_t aDaemon);

  [[nodiscard]] MembershipService& Daemon(std::size_t aIndex);
  [[nodiscard]] std::size_t Size() const;
  [[nodiscard]] const Clock& GetClock() const;
  [[nodiscard]] std::vector<ControlUsage> Usage();

  /// Milliseconds until each daemon of region 0 knows that the endpoints are leaving. Daemon 0 reports them.
  /// @param aIndexes  endpoints of region 0, by index within the region
  [[nodiscard]] std::vector<double> MeasureReclaimPropagation(
    std::span<const std::size_t> aIndexes);

  /// Milliseconds until each daemon has applied a shared state that one daemon publishes.
  [[nodiscard]] std::vector<double> MeasureStatePropagation(std::size_t aDaemon,
                                                            std::size_t aBytes);

  /// Milliseconds until each daemon has applied a shared state that all daemons read from a log.
  [[nodiscard]] std::vector<double> MeasureLogPropagation(std::size_t aBytes);

  /// Milliseconds until each daemon of region 0 knows a new endpoint. Only the daemons that read the host
  /// list receive it directly.
  [[nodiscard]] std::vector<double> MeasureHostPropagation();

  /// Size in bytes of the host list in the form that is distributed within region 0.
  [[nodiscard]] std::size_t SharedHostListBytes() const;

  /// Has every daemon place soft records at a steady rate.
  /// @return total number of records placed
  [[nodiscard]] std::size_t PlaceRecords(std::size_t aPerSecond, Seconds aSpan);

  /// Milliseconds until each other daemon of the region has removed a daemon that was killed.
  [[nodiscard]] std::vector<double> MeasureFailureDetection(std::size_t aDaemon);

private:
  [[nodiscard]] std::vector<HostEntry> MakeHosts() const;
  [[nodiscard]] std::string EndpointId(std::size_t aIndex) const;
  [[nodiscard]] SharedState NextState(std::size_t aBytes);

  SystemClock clock;
  FleetSize size;
  SyntheticLoads loads;
  std::vector<std::unique_ptr<MembershipService>> daemons;
  PropagationTracker tracker;
  std::mutex expectationMutex;
  std::vector<EndpointKey> expectedLeaving; ///< Guarded by expectationMutex.
  EndpointKey expectedHost = 0;             ///< Guarded by expectationMutex.
  PeerKey expectedRemoval = 0;              ///< Guarded by expectationMutex.
  std::vector<HostEntry> addedHosts; ///< In addition to the hosts that the fleet's size gives.
  std::int64_t lastVersion = 0;
};

} // namespace lagoonward::bench
