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

/// Identity of this daemon and addresses of the platform's services.
struct FleetManagerIdentity
{
  std::string daemonId;
  std::string incarnation; ///< Identifies this run of this daemon; never reused.
  std::string region;
  std::string logUrl;
  std::string cloudUrl;
  std::string weightStoreUrl;
};

/// Inputs from the rest of the daemon. All may be called from any thread.
struct FleetManagerHooks
{
  /// The active configuration of each market that this daemon follows.
  std::function<std::vector<ConfigurationPtr>()> configurations;

  /// Number of daemons of the region that rank before this one under rendezvous hashing of a key.
  std::function<int(const std::string& aKey)> rank;

  /// The latest snapshot of the fleet, or nullptr until the host list has been read.
  std::function<FleetSnapshotPtr()> fleet;
};

/// Reconciles the fleet of each market of this daemon's region with its manifest, where this daemon is the elected
/// leader. Each market has one thread for its lease and one for its orders, since the calls of both block. See
/// docs/design/fleet-manager.md.
class FleetManager final : public Service
{
public:
  static constexpr std::string_view kName = "fleet";

  FleetManager(const FleetManagerSettings& aSettings, FleetManagerIdentity aIdentity,
               FleetManagerHooks aHooks, const Clock& aClock);
  ~FleetManager() override;

  [[nodiscard]] std::string_view Name() const override { return kName; }
  [[nodiscard]] Result<void> Start() override;

  /// Resigns all leases and is no candidate for any again. Does not block; any thread.
  void Resign();

  /// Resigns, and waits for `resignTimeout` at most until the log shows that no lease is held.
  void Drain() override;
  void Stop() override;

  /// The lease of each market of this daemon's region, whether or not it is the leader. Any thread.
  [[nodiscard]] std::vector<LeaseStatus> Leases() const;

private:
  struct Worker
  {
    Worker(const FleetManager& aManager, const std::string& aMarket);

    std::string market;
    std::string rankKey;
    HttpLogService log; ///< Not shared, so that it can be interrupted when the worker stops.
    LeaseFollower lease;
    std::jthread leaseThread;
    std::jthread orderThread;
  };

  void WatchMarkets(const std::stop_token& aStop);
  void StartWorker(const std::string& aMarket);
  void FollowLease(const std::stop_token& aStop, Worker& aWorker);
  void SendOrders(const std::stop_token& aStop, Worker& aWorker);
  [[nodiscard]] std::optional<MarketState> CollectState(const std::string& aMarket) const;
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

  mutable std::mutex
    mutex; ///< Guards `workers` and `resigned`; workers are never removed before Stop().
  std::map<std::string, std::unique_ptr<Worker>, std::less<>> workers;
  bool resigned = false;
  std::jthread watcher;
};

} // namespace lagoonward
