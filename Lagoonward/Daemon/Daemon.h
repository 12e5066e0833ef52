#pragma once

#include "Lagoonward/Configuration/MarketIndex.h"
#include "Lagoonward/Core/Kernel.h"
#include "Lagoonward/Daemon/ControlPlane.h"
#include "Lagoonward/Daemon/CrashExchange.h"
#include "Lagoonward/Daemon/DemandExchange.h"
#include "Lagoonward/Daemon/FleetManager.h"
#include "Lagoonward/Daemon/PeerClaimForwarder.h"
#include "Lagoonward/Daemon/PeerRequestDirectory.h"
#include "Lagoonward/Daemon/PlatformWatcher.h"
#include "Lagoonward/Daemon/StatusPage.h"
#include "Lagoonward/Frontend/AdminApi.h"
#include "Lagoonward/Frontend/CallerApi.h"
#include "Lagoonward/Providers/HttpLogService.h"
#include "Lagoonward/Settings/DaemonSettings.h"

#include <atomic>
#include <functional>
#include <memory>

namespace lagoonward {

/// One daemon: builds the services from the settings, registers them with the kernel in the order in
/// which they depend on each other, and takes them through start, drain and stop.
class Daemon
{
public:
  /// @param aOnDrainAsked  told when an operator asks for a drain over HTTP; any thread
  Daemon(DaemonSettings aSettings, const Clock& aClock, std::function<void()> aOnDrainAsked);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Starts all services. Errors: InvalidSettings, when an address cannot be bound or a key ring is
  /// malformed.
  [[nodiscard]] Result<void> Start();

  /// Turns unready, tells the other daemons, finishes every request.
  void Drain();

  void Stop();

  /// The services, by name.
  [[nodiscard]] const Kernel& Services() const { return this->kernel; }

private:
  [[nodiscard]] Result<void> Build();
  void BuildMembership(KeyRing aKeys);
  void BuildConfiguration();
  void BuildFleetManager();
  void BuildRuns();
  void BuildInterfaces();
  /// What is in force in each followed market. Any thread.
  [[nodiscard]] std::vector<ConfigurationPtr> ConfigurationsInForce() const;
  /// Ids of the live daemons, this one included, of all regions or of one. Any thread.
  [[nodiscard]] std::vector<std::string> LiveDaemons(std::string_view aRegion = {}) const;
  [[nodiscard]] PlatformNews MakePlatformNews();
  /// Why the daemon should get no requests, or nothing when it should.
  [[nodiscard]] std::optional<Error> FindUnreadiness() const;

  DaemonSettings settings;
  const Clock& clock;
  std::function<void()> onDrainAsked;
  std::atomic<bool> draining{ false };
  std::uint64_t seed;      ///< Of the sampling; differs between daemons.
  std::string incarnation; ///< Of this run of this daemon; never reused.

  FleetStore fleet;
  MarketDirectory markets;
  LoadPoller poller;
  HttpLogService log;      ///< The follower's own; it is interrupted when that stops.
  HttpLogService claimLog; ///< The claims' own.
  HttpLogService indexLog; ///< The market index reader's own.
  std::unique_ptr<PeerClaimForwarder> claimForwarder;
  std::unique_ptr<PeerRequestDirectory> directory;
  std::unique_ptr<DemandExchange> demand;
  std::unique_ptr<KeeperDirectory> keepers;
  std::unique_ptr<CrashExchange> crashes;
  Kernel kernel;

  // Owned by the kernel
  MembershipService* membership = nullptr;
  ControlPlane* control = nullptr;
  ConfigurationFollower* follower = nullptr;
  FleetManager* fleetManager = nullptr;
  PlatformWatcher* platform = nullptr;
  MarketIndexReader* index = nullptr;
  RunService* runs = nullptr;
  AdminApi* admin = nullptr;
};

} // namespace lagoonward
