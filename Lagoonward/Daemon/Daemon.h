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

/// One daemon: creates the services from the settings, registers them with the kernel in the order of their
/// dependencies, and starts, drains and stops them.
class Daemon
{
public:
  /// @param aOnDrainRequested  called when an operator requests a drain over HTTP; any thread
  Daemon(DaemonSettings aSettings, const Clock& aClock, std::function<void()> aOnDrainRequested);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Starts all services. Errors: InvalidSettings if an address cannot be bound or a key ring is malformed.
  [[nodiscard]] Result<void> Start();

  /// Reports unready, notifies the other daemons, and finishes all requests.
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
  void SweepConnections();
  /// The configurations in force, one for each followed market that has one. Any thread.
  [[nodiscard]] std::vector<ConfigurationPtr> ConfigurationsInForce() const;
  /// Ids of the live daemons, this one included, of all regions or of one. Any thread.
  [[nodiscard]] std::vector<std::string> LiveDaemons(std::string_view aRegion = {}) const;
  [[nodiscard]] PlatformCallbacks MakePlatformFeed();
  /// Why the daemon should receive no requests, or nothing if it should.
  [[nodiscard]] std::optional<Error> FindUnreadyReason() const;

  DaemonSettings settings;
  const Clock& clock;
  std::function<void()> onDrainRequested;
  std::atomic<bool> draining{ false };
  std::uint64_t seed;      ///< Of the random sampling; differs between daemons.
  std::string incarnation; ///< Identifies this run of this daemon; never reused.

  FleetStore fleet;
  MarketDirectory markets;
  LoadPoller poller;
  HttpLogService log;      ///< For the follower only, which interrupts it when it stops.
  HttpLogService claimLog; ///< For the claims only.
  HttpLogService indexLog; ///< For the market index reader only.
  std::shared_ptr<ConnectionTable> connections; ///< Of all servers.
  std::unique_ptr<PeerClaimForwarder> claimForwarder;
  std::unique_ptr<PeerRequestDirectory> requestDirectory;
  std::unique_ptr<DemandExchange> demandExchange;
  std::unique_ptr<KeyOwnerDirectory> keyOwners;
  std::unique_ptr<CrashExchange> crashExchange;
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
