#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Fleet/FleetStore.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Tunables of PathMonitor.
struct PathMonitorSettings
{
  Milliseconds checkInterval{ 100 };

  /// Failures at this many endpoints within the window, or at all of them if there are fewer, raise the suspicion.
  std::size_t suspiciousEndpoints = 2;
  Milliseconds failureWindow{ 1'000 };

  /// With requests at endpoints, no byte from any endpoint for this long raises the suspicion.
  Milliseconds silence{ 700 };

  std::size_t probedEndpoints = 6; ///< Endpoints that one round of probes connects to.
  double lostBelow = 0.5;          ///< The path is lost if a smaller share of a round connects.
  double returnedAbove = 0.75; ///< It has returned if a greater share of a later round connects.
  Milliseconds probeTimeout{
    250
  }; ///< Of a connection attempt; within a region it takes a few milliseconds.
  Milliseconds suspicionInterval{ 700 }; ///< Between two rounds that a suspicion causes.
  Milliseconds lostInterval{ 400 };      ///< Between two rounds while the path is lost.
};

/// Detects that this daemon has lost the path to the endpoints: to all of them, or to most. Failed or silent requests
/// only raise a suspicion; then a round of connection attempts, without requests, to random endpoints of all services
/// decides. Further rounds show when the path has returned, so no caller's request is needed to notice that. Endpoints
/// that have failed for all daemons look the same from here; other daemons, which see the same, then accept no requests.
/// Used on one TrafficLoop, except for IsLost().
class PathMonitor
{
public:
  /// @param aOnReturned  called when the path has returned
  /// References must outlive it.
  PathMonitor(const PathMonitorSettings& aSettings, TrafficLoop& aLoop, const FleetStore& aFleet,
              std::function<void()> aOnReturned);
  ~PathMonitor();
  PathMonitor(const PathMonitor&) = delete;
  PathMonitor& operator=(const PathMonitor&) = delete;

  /// Begins the periodic checks.
  void Start();

  /// A request was sent, or a connection for it is being opened.
  void OnSent();
  /// Bytes of any response have arrived.
  void OnBytes();
  /// A request ended, with or without a response.
  void OnEnded();
  /// No connection was established, or no data arrived in time.
  void OnUnreachable(const std::string& aEndpoint);

  /// Whether the path to all or most endpoints is lost. Any thread.
  [[nodiscard]] bool IsLost() const { return this->isLost; }

private:
  class Probe;

  void Check();
  [[nodiscard]] bool IsSuspicious();
  void BeginRound();
  void OnProbeEnded(bool aSucceeded);
  void OnRoundEnded();

  PathMonitorSettings settings;
  TrafficLoop& loop;
  const FleetStore& fleet;
  std::function<void()> onReturned;
  std::map<std::string, TimePoint, std::less<>> failures; ///< Last failure of each endpoint.
  int outstanding = 0;                                    ///< Requests at endpoints.
  TimePoint lastBytes; ///< Last bytes from any endpoint, or begin of the requests at them.
  TimePoint lastRound; ///< Begin of the last round.
  std::vector<std::unique_ptr<Probe>> probes; ///< Of the round in progress.
  std::size_t endedProbes = 0;
  std::size_t successfulProbes = 0;
  std::uint64_t random = 1;
  std::atomic<bool> isLost{ false };
};

} // namespace lagoonward
