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

/// Where the duties of the daemon that leads reach outside. Calls block. Errors: StaleFencing when a higher
/// number was seen, NoEndpoint when none are to be had now, PlatformUnavailable when no answer came.
struct DutyPorts
{
  LogService* leaseLog = nullptr; ///< Used by one thread.
  LogService* usageLog = nullptr; ///< Used by another.
  std::function<Result<void>(const UsageRecord&, Offset aFencing)> reportUsage;
  std::function<Result<void>(const std::string& aService, const SizingOrder&, Offset aFencing)>
    orderEndpoints;
};

/// Tunables of the duties.
struct DutySettings
{
  FleetManagerSettings lease;   ///< How the lease is followed; the rest of it is not used.
  Milliseconds interval{ 250 }; ///< Between two looks at what is due.
  Milliseconds standAfter{
    1500
  }; ///< From the start to the first look at the lease: by then a daemon knows the
     ///< others, so that of those that start together only a few stand for election.
  Milliseconds quiet{ 3500 };        ///< From the sight of another leader to the first own order.
  Milliseconds refusedPause{ 4000 }; ///< After an order was refused as another leads.
  DemandSizingSettings sizing;
};

/// What the duties are told of the daemon. All may be called from any thread.
struct DutyFacts
{
  std::string self; ///< This daemon's id.
  std::string region;
  std::string incarnation;
  std::function<RelayConfigurationPtr()> inForce;
  const FleetStore* fleet = nullptr;
  Router* router = nullptr;     ///< Knows how fast the endpoints are.
  LoadExchange* load = nullptr; ///< Knows what all daemons count.
};

/// The duties that one daemon at a time does for all: reporting usage, ordering endpoints. All who may lead know what
/// the daemons count (LoadExchange), so that a successor knows it too. Whoever holds the lease acts;
/// after taking over from another it first keeps quiet, so that orders never go to and fro within the
/// time in which the platform forbids it.
class DutyService final : public Service
{
public:
  static constexpr std::string_view kName = "duties";

  /// References must outlive it.
  DutyService(DutySettings aSettings, DutyFacts aFacts, DutyPorts aPorts,
              const UsageCounter& aUsage, const Clock& aClock);
  ~DutyService() override;

  [[nodiscard]] std::string_view Name() const override;
  [[nodiscard]] Result<void> Start() override;
  /// Gives the lease up.
  void Drain() override;
  void Stop() override;

  /// Whether this daemon holds the lease. Any thread.
  [[nodiscard]] bool Leads() const { return this->lease.Status().held; }

  /// This daemon while it holds the lease, else nobody. Any thread.
  [[nodiscard]] LeaderNote OwnTenure() const;

private:
  void RunLease();
  void RunDuties();
  [[nodiscard]] bool Pause(Milliseconds aSpan);
  /// The fencing number if this daemon may act now.
  [[nodiscard]] std::optional<Offset> MayAct() const;
  void OnRefused(Offset aFencing);

  [[nodiscard]] UsageReporterPorts MakeUsagePorts();
  void SizeServices();
  void SizeService(const RelayServiceFacts& aService);
  /// Prompt tokens that an endpoint of the service reads a second, as it is taken here; zero while unknown. For logs.
  [[nodiscard]] double SpeedOf(const std::string& aService) const;
  [[nodiscard]] std::map<std::string, DomainCount> CountLive(const std::string& aService) const;

  DutySettings settings;
  DutyFacts facts;
  DutyPorts ports;
  const Clock& clock;
  LeaseFollower lease;

  mutable std::mutex mutex; ///< Guards what follows.
  std::condition_variable stopped;
  bool stopping = false;

  /// The duty thread's own.
  UsageReporter usage;
  std::map<std::string, DemandSizing> sizings; ///< By service.
  TimePoint refusedUntil;                      ///< On Clock::BootNow().
  std::thread leaseThread;
  std::thread dutyThread;
};

} // namespace lagoonward
