#pragma once

#include "Lagoonward/Core/Service.h"
#include "Lagoonward/Fleet/Endpoint.h"
#include "Lagoonward/Membership/ControlLoop.h"
#include "Lagoonward/Membership/EndpointMonitor.h"
#include "Lagoonward/Membership/HostListDistribution.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/PeerExchange.h"
#include "Lagoonward/Membership/PeerTable.h"
#include "Lagoonward/Membership/PeerTransport.h"
#include "Lagoonward/Membership/SharedStates.h"
#include "Lagoonward/Membership/SoftRecords.h"
#include "Lagoonward/Membership/UpdateDisseminator.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <atomic>
#include <functional>
#include <memory>

namespace lagoonward {

/// Identity of this daemon in membership.
struct MembershipIdentity
{
  PeerInfo self;             ///< Id as in the host list, peer address and port (0: any free port).
  std::uint64_t session = 0; ///< Unix milliseconds of the start; higher at each start.
};

/// Membership of daemons, endpoint loads and states, shared states and soft records. All of it runs on one control
/// thread. Unless marked "Any thread", methods must be called on that thread (see Loop()) or before Start(). Contains
/// no HTTP: the owner injects the function that polls endpoints, and passes in the host list.
class MembershipService final : public Service
{
public:
  /// Polls the load of an endpoint. Called on the control thread; must not block; calls aDone once, from any thread.
  using PollDone = std::function<void(Result<EndpointLoad> aLoad)>;
  using PollFunction = std::function<void(const HostEntry& aEndpoint, PollDone aDone)>;

  static constexpr std::string_view kName = "membership";

  MembershipService(const Clock& aClock, MembershipIdentity aIdentity, KeyRing aKeys,
                    MembershipSettings aSettings, PollFunction aPoll);
  ~MembershipService() override;

  [[nodiscard]] std::string_view Name() const override;

  /// Binds the peer address and starts the control thread.
  [[nodiscard]] Result<void> Start() override;

  /// Announces that this daemon is leaving. Peers stop selecting it; it still responds to them.
  void Drain() override;
  void Stop() override;

  /// The control thread's loop, for other services that run on it.
  [[nodiscard]] ControlLoop& Loop();

  /// Transport of messages between daemons, for other services. Handlers must be registered before Start().
  [[nodiscard]] PeerTransport& Transport();

  /// Latest view of the other daemons. Any thread.
  [[nodiscard]] PeerViewPtr Peers() const;

  /// Address of a daemon in the latest view, or nothing. Any thread.
  [[nodiscard]] std::optional<PeerAddress> AddressOf(PeerKey aPeer) const;

  /// Applies a host list that this daemon has read: daemons to the peer table, engines and services of this region to
  /// the endpoint monitor. If this daemon is a reader, the list is shared with the region. Any thread.
  void ApplyHostList(std::vector<HostEntry> aHosts);

  /// Whether this daemon reads the host list for its region. Other daemons receive it from their peers and poll it at a
  /// long interval. True until peers are known. Any thread.
  [[nodiscard]] bool IsHostListReader() const;

  /// Reports to every daemon of the region that an endpoint is leaving, was ejected, or is live again. Sent
  /// immediately. Any thread.
  /// @param aGrace  time until a leaving endpoint may terminate
  void ReportEndpoint(const std::string& aEndpointId, EndpointState aState, Milliseconds aGrace);

  /// Publishes a shared state, for example a configuration read from the log, to every daemon. A version that is not
  /// newer than the known one is ignored. Any thread.
  /// @param aAnnounceAfter  delay before the version is announced. Peers that read the state from the same source in
  ///                        the meantime do not fetch it; only peers that cannot read it will.
  void PublishState(SharedState aState, Milliseconds aAnnounceAfter = Milliseconds(0));

  /// Sets the handler for newer shared states received from peers, called on the control thread. If it returns false
  /// (malformed), the state is neither stored nor forwarded.
  void OnState(SharedStates::Validator aHandler);

  /// Last time at which a part of a shared state arrived from a peer; TimePoint::min() before the first. Any thread.
  [[nodiscard]] TimePoint LastStateProgress() const { return this->exchange.LastStateProgress(); }

  /// Sets the handler for changed endpoint facts, called on the control thread: immediately for states, at most once
  /// per tick for loads.
  void OnEndpoints(std::function<void()> aHandler);

  /// Adds a handler, called on the control thread after a new peer view was published. Handlers run in order of
  /// addition.
  void OnPeers(std::function<void(const PeerViewPtr&)> aHandler);

  /// Loads and states of the region's endpoints.
  [[nodiscard]] const EndpointMonitor& Loads() const;

  /// Soft records that this daemon stores for its peers.
  [[nodiscard]] SoftRecords& StoredRecords();

  /// Sends a request's soft record to its holder, a peer chosen by rendezvous hashing. Delivery is not confirmed. Any
  /// thread.
  void PlaceRecord(SoftRecord aRecord);

  /// Asks the peers that may hold a key's record, one after the other. The handler gets nothing if none has it. Any
  /// thread; the handler runs on the control thread.
  void FindRecord(std::uint64_t aKeyHash, PeerExchange::RecordHandler aHandler);

  /// Bytes and messages since the start.
  [[nodiscard]] const TransportCounters& Counters() const;

private:
  void Tick();
  void SendProbes();
  void ScheduleUpdates();
  void SendQueuedUpdates();
  void StartPolls();
  void PublishPeers();
  void UpdateHostListReaderRole(const PeerView& aView);
  void ApplyHosts(const std::vector<HostEntry>& aHosts);
  [[nodiscard]] bool ApplySharedState(const SharedState& aState);
  void Announce(const SharedState& aState);
  void HandleDatagram(PeerKey aSender, const Datagram& aDatagram);
  void ApplyUpdates(PeerKey aSender, const Datagram& aDatagram);
  void AnswerProbe(PeerKey aSender, const Datagram& aDatagram);
  void ForwardAck(PeerKey aSender);

  /// A peer that waits for the result of this daemon's probe of a third one.
  struct IndirectProbe
  {
    PeerKey requester = 0;
    std::uint32_t nonce = 0;
    TimePoint requestedAt;
  };

  const Clock& clock;
  MembershipIdentity identity;
  MembershipSettings settings;
  PollFunction poll;
  Log log;
  ControlLoop loop;
  PeerTransport transport;
  PeerTable peers;
  EndpointMonitor loads;
  SharedStates states;
  SoftRecords records;
  PeerExchange exchange;
  UpdateDisseminator disseminator;
  HostListDistribution hostList;
  std::atomic<bool> readsHostList{ true };
  SharedStates::Validator stateHandler;
  std::function<void()> endpointsHandler;
  std::vector<std::function<void(const PeerViewPtr&)>> peersHandlers;
  PeerViewPtr view; ///< Read and written with std::atomic_load and std::atomic_store.
  std::unordered_map<PeerKey, std::vector<IndirectProbe>> indirectProbes; ///< By the daemon probed.
  TimePoint lastLoadSend;
  bool endpointsChanged = false;
  bool updatesScheduled = false;
};

} // namespace lagoonward
