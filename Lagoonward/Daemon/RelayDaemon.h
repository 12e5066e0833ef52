#pragma once

#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Core/Kernel.h"
#include "Lagoonward/Daemon/ConfigurationLoader.h"
#include "Lagoonward/Daemon/CrashExchange.h"
#include "Lagoonward/Daemon/EndpointReplicator.h"
#include "Lagoonward/Daemon/ForwardExchange.h"
#include "Lagoonward/Daemon/LimitTokenExchange.h"
#include "Lagoonward/Daemon/LoadExchange.h"
#include "Lagoonward/Daemon/PermitExchange.h"
#include "Lagoonward/Daemon/PlaceExchange.h"
#include "Lagoonward/Daemon/RelayPorts.h"
#include "Lagoonward/Daemon/RelayReporter.h"
#include "Lagoonward/Daemon/RelayTuning.h"
#include "Lagoonward/Daemon/SlotExchange.h"
#include "Lagoonward/Daemon/StreamOriginExchange.h"
#include "Lagoonward/Membership/DaemonCountEstimator.h"
#include "Lagoonward/Membership/MembershipService.h"
#include "Lagoonward/Relay/RelayService.h"
#include "Lagoonward/Settings/RelayDaemonSettings.h"
#include "Lagoonward/Wire/ConnectionTable.h"
#include "Lagoonward/Wire/HttpServer.h"

#include <atomic>
#include <memory>
#include <string>

namespace lagoonward {

/// One daemon that relays requests: creates its services and passes events between them. Events from outside enter
/// through the On...() methods, which are safe from any thread.
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

  /// Reports unready, answers all accepted requests, and returns before the grace period ends.
  void Drain();
  void Stop();

  /// A configuration was read, with its text as it was published. It is decoded in the background; one older than the
  /// configuration in force has no effect.
  void OnConfiguration(const std::string& aText);

  /// A record of an endpoint was read. See EndpointReplicator for this and the next three.
  void OnEndpointRecord(EndpointRecord aRecord);
  /// All existing records of endpoints were read.
  void OnEndpointFullRead(std::vector<EndpointRecord> aRecords, LogPosition aEndVersion);
  /// The endpoints' source has answered a read.
  /// @param aAsOf        BootNow() at which the read began
  /// @param aEndVersion  all records below this version have been passed
  void OnEndpointReadCompleted(TimePoint aAsOf, LogPosition aEndVersion);
  /// The endpoints' source has stopped answering, or answers again.
  void OnEndpointSourceReachability(bool aAnswers);
  /// Interval between two reads of the endpoints' records in the current state.
  [[nodiscard]] Milliseconds EndpointReadInterval() const;

  /// Whether the live daemons are known, as far as this daemon can tell: its view contains other daemons, and the
  /// failure domain of each.
  [[nodiscard]] bool KnowsLiveDaemons() const;

  /// Whether this daemon reads the endpoints' records for all daemons, see ReaderRole. It keeps the records of the whole
  /// deployment in the store then. More than one daemon may do so at a time.
  [[nodiscard]] bool ReadsEndpointsForOthers() const;

  /// Epoch of the endpoints' source, as far as it is known here.
  [[nodiscard]] std::int64_t SourceEpoch() const { return this->endpointReplicator->SourceEpoch(); }

  /// Software versions of the endpoints that streams may be of, to be recorded outside and to be read by later runs.
  [[nodiscard]] SoftwareVersionHistory& SoftwareVersions() { return this->versions; }

  /// Origins of streams, to be saved outside and to be read by later runs.
  [[nodiscard]] StreamOriginExchange& StreamOrigins() { return *this->streamOrigins; }

  /// Requests that crash endpoints, and parts of prompts that do. Valid after Start(). Any thread.
  [[nodiscard]] PoisonRequestFilter& PoisonedRequests() { return this->market->poison; }
  [[nodiscard]] PoisonRequestFilter& PoisonedParts() { return this->market->poisonParts; }

  /// Whether other daemons send the configurations, so that this one need not poll for them. To be called by one
  /// thread.
  [[nodiscard]] bool ReceivesConfigurationsFromPeers();

  /// All daemons that are listed outside; the seeds of the settings are added to them.
  void OnDaemonList(std::vector<HostEntry> aDaemons);

  /// The settings have changed at runtime: new seeds are applied at once, other changes need a restart.
  void OnSettings(const RelayDaemonSettings& aSettings);

  /// The configuration in force; null before the first.
  [[nodiscard]] RelayConfigurationPtr ConfigurationInForce() const;

  /// Current state of this daemon, for its metrics.
  [[nodiscard]] RelayState State() const;

  /// Number of daemons of the deployment that the membership regards as live, this one included.
  [[nodiscard]] int LiveDaemons() const;

  /// Whether the load balancer should send callers to this daemon.
  [[nodiscard]] bool IsReady() const;

  /// Whether this daemon has lost the path to all endpoints.
  [[nodiscard]] bool HasLostPath() const { return this->relay->HasLostPath(); }

  /// The port for callers, once started: that of the settings, or the one that the system chose if they have 0.
  [[nodiscard]] std::uint16_t CallerPort() const { return this->callerServer->Port(); }

  [[nodiscard]] const RelayDaemonSettings& Settings() const { return this->settings; }

private:
  [[nodiscard]] Result<void> BuildMembership();
  void BuildLeaderTasks();
  void BuildServers();
  void BuildForwarding();
  void HandleCall(HttpRequest aRequest, const HttpExchangePtr& aExchange);
  /// Reads a request and runs it, or forwards it if there are targets. Rejects it late in a drain.
  void Serve(HttpRequest aRequest, std::unique_ptr<RelayCaller> aCaller,
             std::vector<ForwardTarget> aTargets);
  /// Handles a request that another daemon forwarded.
  void HandleForwardedCall(HttpRequest aRequest, const HttpExchangePtr& aExchange);
  /// Daemons to which requests are forwarded; empty unless this daemon has lost the path to all endpoints.
  [[nodiscard]] std::vector<ForwardTarget> TargetsIfPathIsLost();
  /// State of this daemon for those that may forward requests to it.
  [[nodiscard]] ForwardState OwnForwardState() const;
  /// Requests whose response has not been sent completely.
  [[nodiscard]] int OpenExchanges() const;
  /// Queues the text of a configuration that another daemon sent.
  void OnPeerConfiguration(const SharedState& aState);
  void ApplyConfiguration(LoadedConfiguration aLoaded);
  void PublishFleet();
  /// Divides the endpoints of the services whose requests are queued into pools.
  void PublishQueuePools(const FleetSnapshot& aFleet);
  void ApplyDaemonList();
  /// Passes the number of daemons that may share clients' limits to the admission.
  void UpdateDaemonCount();
  void PollDaemonCount();
  /// Sets what callers may send, as the operator's configuration says.
  void ApplyCallerLimits(HttpLimits aLimits);
  void SweepConnections();
  /// Version in force, or -1 before the first.
  [[nodiscard]] std::int64_t ConfigurationVersion() const;
  void SleepUntil(TimePoint aUntil) const;
  void WaitForResponses(TimePoint aUntil);
  /// Waits for the responses to requests that were abandoned.
  void FlushResponses();

  RelayDaemonSettings settings;
  const Clock& clock;
  RelayPorts ports;
  MarketDirectory markets; ///< Contains a single market, with the decision logic of other requests.
  MarketPtr market;
  FleetStore fleet;
  RelayReporter reporter;
  Kernel kernel;
  MembershipService* membership = nullptr;
  RelayService* relay = nullptr;
  SoftwareVersionHistory versions; ///< Of the services, as the published snapshots show.
  UsageCounter usage;
  LeaderTaskService* leaderTasks = nullptr;
  std::unique_ptr<LoadExchange> loadExchange;
  std::unique_ptr<KeyOwnerDirectory> keyOwners;
  std::unique_ptr<LimitTokenExchange> limitTokenExchange;
  std::unique_ptr<CrashExchange> crashExchange;
  std::unique_ptr<CrashExchange> partCrashExchange; ///< The same for parts of prompts.
  std::unique_ptr<PermitExchange> permitExchange;
  std::unique_ptr<PlaceExchange> placeExchange;
  std::unique_ptr<SlotExchange> slotExchange;
  std::unique_ptr<StreamOriginExchange> streamOrigins;
  std::unique_ptr<MembershipLink> daemonLink;
  std::unique_ptr<EndpointReplicator> endpointReplicator;
  std::unique_ptr<ForwardExchange> forwardExchange;
  std::string forwardToken; ///< Random; known to the daemons that have asked this one for it.
  ConnectionLimits connectionLimits;
  std::shared_ptr<ConnectionTable> connections; ///< Of all servers.
  std::unique_ptr<HttpServer> callerServer;
  std::unique_ptr<HttpServer> readinessServer;
  std::unique_ptr<HttpServer> metricsServer;
  std::unique_ptr<HttpServer> forwardServer; ///< Null if it has no address.

  RelayConfigurationPtr
    configurationInForce; ///< Read and written with std::atomic_load and std::atomic_store.
  std::atomic<bool> knowsEndpoints{ false };
  std::atomic<bool> draining{ false };
  std::atomic<bool> rejectsRequests{ false }; ///< The drain has no time left for new requests.
  std::unique_ptr<ConfigurationLoader> configurationLoader;
  /// Newest version that was received from another daemon, decoded or not; -1 if it could not be decoded.
  std::atomic<std::int64_t> receivedConfiguration{ -1 };
  std::vector<HostEntry> listedDaemons; ///< From OnDaemonList(). Control thread only.
  std::string incarnation;              ///< Identifies this run of this daemon.
  DaemonCountEstimator daemonCount;     ///< Control thread only.
  TimePoint
    upToDateAt; ///< Last time without a newer configuration at a peer. ReceivesConfigurationsFromPeers() only.
  std::vector<SocketAddress> seeds; ///< As in the newest settings. Control thread only.
};

} // namespace lagoonward
