#pragma once

#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Core/Kernel.h"
#include "Lagoonward/Daemon/CrashExchange.h"
#include "Lagoonward/Daemon/EndpointNews.h"
#include "Lagoonward/Daemon/LimitLoans.h"
#include "Lagoonward/Daemon/LoadExchange.h"
#include "Lagoonward/Daemon/PermitExchange.h"
#include "Lagoonward/Daemon/RelayPorts.h"
#include "Lagoonward/Daemon/RelayReporter.h"
#include "Lagoonward/Membership/MembershipService.h"
#include "Lagoonward/Relay/RelayService.h"
#include "Lagoonward/Settings/RelayDaemonSettings.h"
#include "Lagoonward/Wire/HttpServer.h"

#include <atomic>
#include <memory>
#include <string>

namespace lagoonward {

/// One daemon that relays requests: puts its services together and carries news between them. What
/// happens outside is told to it through the On...() methods, which are safe from any thread.
class RelayDaemon
{
public:
  /// References must outlive it.
  RelayDaemon(RelayDaemonSettings aSettings, const Clock& aClock);
  ~RelayDaemon();
  RelayDaemon(const RelayDaemon&) = delete;
  RelayDaemon& operator=(const RelayDaemon&) = delete;

  /// Binds all addresses and starts all threads. Errors: InvalidSettings.
  [[nodiscard]] Result<void> Start(RelayPorts aPorts);

  /// Turns unready, answers all that was taken, and returns before the grace period ends.
  void Drain();
  void Stop();

  /// A configuration as it was published. Older ones than the one in force change nothing.
  void OnConfiguration(const std::string& aText);

  /// A record of an endpoint was read. See EndpointNews, also for what follows.
  void OnEndpointRecord(EndpointRecord aRecord);
  /// All records of endpoints were read.
  void OnEndpointRecords(std::vector<EndpointRecord> aRecords, std::int64_t aEnd);
  /// The endpoints' source has answered a read that began at a time of the clock's BootNow(), up to a version.
  void OnEndpointsRead(TimePoint aAsOf, std::int64_t aEnd);
  /// Whether the endpoints' source is reachable.
  void OnEndpointSource(bool aAnswers);
  /// How long to wait between two reads of the endpoints' records, as things stand.
  [[nodiscard]] Milliseconds EndpointPace() const;

  /// Whether the daemons that live are known, as far as can be told here: it has heard of some, and of each where it
  /// stands.
  [[nodiscard]] bool KnowsDaemons() const;

  /// Whether this daemon reads the sources for all others.
  [[nodiscard]] bool ReadsForAll() const;

  /// Whether configurations come from other daemons, so that this one need not ask for them. Called by one thread.
  [[nodiscard]] bool IsToldOfConfigurations();

  /// All daemons that are known outside, beside the seeds of the settings.
  void OnDaemons(std::vector<HostEntry> aDaemons);

  /// Settings that changed while it runs: new seeds are taken in, the rest waits for a restart.
  void OnSettings(const RelayDaemonSettings& aSettings);

  /// What is in force; null before the first.
  [[nodiscard]] RelayConfigurationPtr InForce() const;

  /// What this daemon believes now, for its metrics.
  [[nodiscard]] RelayState State() const;

  /// Daemons of the deployment that are thought to live, this one included.
  [[nodiscard]] int LiveDaemons() const;

  /// Whether callers should be sent here.
  [[nodiscard]] bool IsReady() const;

  /// The port for callers, once started: that of the settings, or the one that was free where they say 0.
  [[nodiscard]] std::uint16_t CallerPort() const { return this->callers->Port(); }

  [[nodiscard]] const RelayDaemonSettings& Settings() const { return this->settings; }

private:
  [[nodiscard]] Result<void> BuildMembership();
  void BuildDuties();
  void BuildServers();
  void HandleCall(HttpRequest aRequest, const HttpExchangePtr& aExchange);
  [[nodiscard]] bool TakeConfiguration(const std::string& aText, bool aFromPeer);
  void PublishFleet();
  void ApplyDaemons();
  /// Tells admission how many daemons may share clients' limits.
  void CountDaemons();
  /// Version in force, or -1 before the first.
  [[nodiscard]] std::int64_t ConfigurationVersion() const;
  void WaitForAnswers(TimePoint aUntil);

  RelayDaemonSettings settings;
  const Clock& clock;
  RelayPorts ports;
  MarketDirectory markets; ///< Holds one, for the decisions shared with other requests.
  MarketPtr market;
  FleetStore fleet;
  RelayReporter reporter;
  Kernel kernel;
  MembershipService* membership = nullptr;
  RelayService* relay = nullptr;
  UsageCounter usage;
  DutyService* duties = nullptr;
  std::unique_ptr<LoadExchange> load;
  std::unique_ptr<KeeperDirectory> keepers;
  std::unique_ptr<LimitLoans> loans;
  std::unique_ptr<CrashExchange> crashes;
  std::unique_ptr<PermitExchange> permits;
  std::unique_ptr<EndpointNews> endpoints;
  std::unique_ptr<HttpServer> callers;
  std::unique_ptr<HttpServer> readiness;
  std::unique_ptr<HttpServer> metrics;

  RelayConfigurationPtr inForce; ///< Read and written with std::atomic_load and std::atomic_store.
  std::atomic<bool> knowsEndpoints{ false };
  std::atomic<bool> draining{ false };
  std::atomic<bool> refusing{ false }; ///< Too late in the drain to take a request.
  std::string textInForce;             ///< As it was published. Control thread only.
  std::vector<HostEntry> listed;       ///< Daemons, as told from outside. Control thread only.
  std::string incarnation;             ///< Names this run of this daemon.
  TimePoint startedAt;
  TimePoint
    upToDateAt; ///< When no newer configuration was told of last. IsToldOfConfigurations() only.
  std::vector<SocketAddress> seeds; ///< As in the newest settings. Control thread only.
};

} // namespace lagoonward
