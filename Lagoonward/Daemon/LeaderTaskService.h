#pragma once

#include "Lagoonward/Core/Service.h"
#include "Lagoonward/Daemon/LeaseFollower.h"
#include "Lagoonward/Daemon/LoadExchange.h"
#include "Lagoonward/Daemon/UsageReporter.h"
#include "Lagoonward/Fleet/FleetStore.h"
#include "Lagoonward/Placement/DemandSizing.h"
#include "Lagoonward/Relay/RelayConfiguration.h"
#include "Lagoonward/Routing/Router.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace lagoonward {

/// External services that the leader tasks call. Calls block. Errors: StaleFencing when the callee has seen a higher
/// fencing number, NoEndpoint when no endpoint is available now, PlatformUnavailable when no response came.
struct LeaderTaskPorts
{
  LogService* leaseLog = nullptr; ///< Used by the lease thread only.
  LogService* usageLog = nullptr; ///< Used by the task thread only.
  std::function<Result<void>(const UsageRecord&, Offset aFencing)> reportUsage;
  std::function<Result<void>(const std::string& aService, const SizingOrder&, Offset aFencing)>
    orderEndpoints;
};

/// Tunables of the leader tasks.
struct LeaderTaskSettings
{
  FleetManagerSettings lease;   ///< Only its members for following the lease are used.
  Milliseconds interval{ 250 }; ///< Between two runs of the tasks.
  Milliseconds electionDelay{
    1500
  }; ///< From the start to the first read of the lease. By then a daemon knows its
     ///< peers, so that of daemons that start together only a few are candidates.
  Milliseconds quietPeriod{
    3500
  }; ///< From the last observation of another leader to the first own order.
  Milliseconds staleFencingPause{
    4000
  }; ///< Time without orders after one was rejected with StaleFencing.
  DemandSizingSettings sizing;
};

/// Inputs of the leader tasks from the rest of the daemon. All may be called from any thread.
struct LeaderTaskInputs
{
  std::string self; ///< This daemon's id.
  std::string region;
  std::string incarnation;
  std::function<RelayConfigurationPtr()> activeConfiguration;
  /// Epoch of the log as far as this daemon knows it; see LogPosition.
  std::function<std::int64_t()> logEpoch = [] { return std::int64_t{ 0 }; };
  const FleetStore* fleet = nullptr;
  Router* router = nullptr;     ///< Source of the endpoints' measured speed.
  LoadExchange* load = nullptr; ///< Source of usage and load over all daemons.
};

/// Runs the leader tasks, which one daemon at a time does for the deployment: reporting usage and ordering endpoints.
/// The daemon that holds the lease acts. All daemons that may lead receive the counts of all daemons (LoadExchange), so
/// that a successor has them too. After another daemon has led, a new leader sends no order for `quietPeriod`, so that
/// orders never alternate between daemons within the time in which the platform forbids it. Has one thread for the
/// lease and one for the tasks.
class LeaderTaskService final : public Service
{
public:
  static constexpr std::string_view kName = "duties";

  /// References must outlive it.
  LeaderTaskService(LeaderTaskSettings aSettings, LeaderTaskInputs aInputs, LeaderTaskPorts aPorts,
                    const UsageCounter& aUsage, const Clock& aClock);
  ~LeaderTaskService() override;

  [[nodiscard]] std::string_view Name() const override;
  [[nodiscard]] Result<void> Start() override;
  /// Resigns the lease.
  void Drain() override;
  void Stop() override;

  /// Whether this daemon holds the lease. Any thread.
  [[nodiscard]] bool IsLeader() const { return this->lease.Status().held; }

  /// This daemon while it holds the lease, else an empty announcement. Any thread.
  [[nodiscard]] LeaderAnnouncement OwnAnnouncement() const;

private:
  void RunLease();
  void RunTasks();
  [[nodiscard]] bool Pause(Milliseconds aSpan);
  /// The fencing number for an order sent now; nothing while this daemon may not act.
  [[nodiscard]] std::optional<Offset> AuthorizedFencing() const;
  void OnStaleFencing(Offset aFencing);

  [[nodiscard]] UsageReporterPorts MakeUsagePorts();
  void ScaleServices();
  void ScaleService(const RelayServiceConfiguration& aService);
  /// Prompt tokens per second that an endpoint of the service processes, as the router estimates it; zero while
  /// unknown. For logs.
  [[nodiscard]] double PrefillRate(const std::string& aService) const;
  [[nodiscard]] std::map<std::string, DomainCount> CountLive(const std::string& aService) const;

  LeaderTaskSettings settings;
  LeaderTaskInputs inputs;
  LeaderTaskPorts ports;
  const Clock& clock;
  LeaseFollower lease;

  mutable std::mutex mutex; ///< Guards `stopping`.
  std::condition_variable stopped;
  bool stopping = false;

  // Used by the task thread only
  UsageReporter usage;
  std::map<std::string, DemandSizing> sizings; ///< By service.
  TimePoint ordersPausedUntil;                 ///< On Clock::BootNow().
  std::thread leaseThread;
  std::thread taskThread;
};

} // namespace lagoonward
