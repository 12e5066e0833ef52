#pragma once

#include "Lagoonward/Core/Service.h"
#include "Lagoonward/Daemon/HttpOrderSender.h"
#include "Lagoonward/Daemon/MarketLeader.h"
#include "Lagoonward/Providers/HttpCloudService.h"
#include "Lagoonward/Providers/HttpLogService.h"
#include "Lagoonward/Providers/HttpWeightStore.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <stop_token>
#include <thread>

namespace lagoonward {

/// Who this daemon is and where the platform's services are.
struct FleetManagerIdentity
{
  std::string daemonId;
  std::string incarnation; ///< This run of this daemon; never reused.
  std::string region;
  std::string logUrl;
  std::string cloudUrl;
  std::string weightStoreUrl;
};

/// What the manager needs from the rest of the daemon. All safe from any thread.
struct FleetManagerHooks
{
  /// What is in force in each market that this daemon follows.
  std::function<std::vector<ConfigurationPtr>()> configurations;

  /// Daemons of the region that come before this one under rendezvous hashing of a key.
  std::function<int(const std::string& aKey)> rank;

  /// The latest picture of the fleet, or nullptr until the host list has been read.
  std::function<FleetSnapshotPtr()> fleet;
};

/// Brings the fleet of each market of this daemon's region to its manifest, where this daemon is
/// elected to. Each market has one thread for its lease and one for its orders, as the calls of both
/// block. docs/design/fleet-manager.md.
class FleetManager final : public Service
{
public:
  static constexpr std::string_view kName = "fleet";

  FleetManager(const FleetManagerSettings& aSettings, FleetManagerIdentity aIdentity,
               FleetManagerHooks aHooks, const Clock& aClock);
  ~FleetManager() override;

  [[nodiscard]] std::string_view Name() const override { return kName; }
  [[nodiscard]] Result<void> Start() override;

  /// Gives up all leases and stands for none again. Returns at once; from any thread.
  void Resign();

  /// Resigns and waits a moment until the log shows it.
  void Drain() override;
  void Stop() override;

  /// The lease of each market that this daemon manages or would. From any thread.
  [[nodiscard]] std::vector<LeaseStatus> Leases() const;

private:
  struct Worker
  {
    Worker(const FleetManager& aManager, const std::string& aMarket);

    std::string market;
    std::string rankKey;
    HttpLogService log; ///< Its own, interrupted when it stops.
    LeaseFollower lease;
    std::jthread leaseThread;
    std::jthread orderThread;
  };

  void Watch(const std::stop_token& aStop);
  void Manage(const std::string& aMarket);
  void FollowLease(const std::stop_token& aStop, Worker& aWorker);
  void SendOrders(const std::stop_token& aStop, Worker& aWorker);
  [[nodiscard]] std::optional<MarketScene> Scene(const std::string& aMarket) const;
  void Sleep(const std::stop_token& aStop, Milliseconds aSpan);

  const FleetManagerSettings settings;
  const FleetManagerIdentity identity;
  const FleetManagerHooks hooks;
  const Clock& clock;
  HttpCloudService cloud;
  HttpWeightStore weights;
  HttpOrderSender engines;

  std::mutex sleepMutex;
  std::condition_variable_any sleeping;

  mutable std::mutex mutex; ///< Guards what follows; workers are never removed before Stop().
  std::map<std::string, std::unique_ptr<Worker>, std::less<>> workers;
  bool resigned = false;
  std::jthread watcher;
};

} // namespace lagoonward
