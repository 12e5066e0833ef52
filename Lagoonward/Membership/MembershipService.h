#pragma once

#include "Lagoonward/Core/Service.h"
#include "Lagoonward/Fleet/Endpoint.h"
#include "Lagoonward/Membership/ControlLoop.h"
#include "Lagoonward/Membership/HostListShare.h"
#include "Lagoonward/Membership/LoadWatch.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/NewsSpreader.h"
#include "Lagoonward/Membership/PeerExchange.h"
#include "Lagoonward/Membership/PeerTable.h"
#include "Lagoonward/Membership/PeerTransport.h"
#include "Lagoonward/Membership/SharedStates.h"
#include "Lagoonward/Membership/SoftRecords.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <atomic>
#include <functional>
#include <memory>

namespace lagoonward {

/// Who this daemon is towards the others.
struct MembershipIdentity
{
  PeerInfo self;             ///< Id as in the host list, peer address and port (0: any free one).
  std::uint64_t session = 0; ///< Unix milliseconds of the start; higher at each start.
};

/// Membership between daemons, load and reclaim news, shared states and soft records, on one control
/// thread. Everything that is not marked otherwise is called on that thread (see Loop()), or before
/// Start(). Includes no HTTP: the owner injects how endpoints are polled and feeds the host list.
class MembershipService final : public Service
{
public:
  /// Reads an endpoint's load. Called on the control thread; must not block; calls aDone once, from
  /// any thread.
  using PollDone = std::function<void(Result<EndpointLoad> aLoad)>;
  using PollFunction = std::function<void(const HostEntry& aEndpoint, PollDone aDone)>;

  static constexpr std::string_view kName = "membership";

  MembershipService(const Clock& aClock, MembershipIdentity aIdentity, KeyRing aKeys,
                    MembershipSettings aSettings, PollFunction aPoll);
  ~MembershipService() override;

  [[nodiscard]] std::string_view Name() const override;

  /// Binds the peer address and starts the control thread.
  [[nodiscard]] Result<void> Start() override;

  /// Announces that this daemon leaves. The others stop choosing it; it still answers them.
  void Drain() override;
  void Stop() override;

  /// The control thread, for other services that live on it.
  [[nodiscard]] ControlLoop& Loop();

  /// Messages to other daemons, for other services. Register handlers before Start().
  [[nodiscard]] PeerTransport& Transport();

  /// Newest view of the other daemons. Any thread.
  [[nodiscard]] PeerViewPtr Peers() const;

  /// Address of a daemon in the newest view, or nothing. Any thread.
  [[nodiscard]] std::optional<PeerAddress> AddressOf(PeerKey aPeer) const;

  /// Feeds a host list that this daemon has read: daemons to the peer table, engines and services of
  /// this region to the load watch. A reader's list is shared with the region. Any thread.
  void ApplyHostList(std::vector<HostEntry> aHosts);

  /// Whether this daemon reads the host list for its region. Others get it from their peers and need
  /// to read it only seldom. True until peers are known. Any thread.
  [[nodiscard]] bool ReadsHostList() const;

  /// Tells every daemon of the region that an endpoint leaves, or was ejected, or is live again. Any
  /// thread. Sent at once.
  /// @param aGrace  time until a leaving endpoint may vanish
  void ReportEndpoint(const std::string& aEndpointId, EndpointState aState, Milliseconds aGrace);

  /// Publishes a shared state, for example a configuration read from the log, to every daemon. An
  /// older version than the one known changes nothing. Any thread.
  /// @param aAnnounceAfter  how long to wait before the others are told: where they read it at the same source
  ///                        themselves, only those that cannot will then still ask for it
  void PublishState(SharedState aState, Milliseconds aAnnounceAfter = Milliseconds(0));

  /// Called on the control thread for each newer shared state that a peer brought. Returning false
  /// refuses it (malformed); it is then neither kept nor passed on.
  void OnState(SharedStates::Validator aHandler);

  /// Called on the control thread when facts about endpoints have changed: at once for a state, at
  /// most once a tick for loads.
  void OnEndpoints(std::function<void()> aHandler);

  /// Called on the control thread after a new peer view was published, after the handlers that were there before.
  void OnPeers(std::function<void(const PeerViewPtr&)> aHandler);

  /// What is known of the region's endpoints.
  [[nodiscard]] const LoadWatch& Loads() const;

  /// Soft records that this daemon keeps for its siblings.
  [[nodiscard]] SoftRecords& HeldRecords();

  /// Places a request's soft record with the sibling that rendezvous hashing names. Fire and forget.
  /// Any thread.
  void PlaceRecord(SoftRecord aRecord);

  /// Asks the siblings that may hold a key's record, one after the other. The handler gets nothing
  /// when nobody has one. Any thread; the handler runs on the control thread.
  void FindRecord(std::uint64_t aKeyHash, PeerExchange::Found aHandler);

  /// Bytes and messages so far.
  [[nodiscard]] const TransportCounters& Counters() const;

private:
  void Tick();
  void SendProbes();
  void ScheduleNews();
  void SendNews();
  void StartPolls();
  void PublishPeers();
  void ChooseHostListReaders(const PeerView& aView);
  void TakeHosts(const std::vector<HostEntry>& aHosts);
  [[nodiscard]] bool TakeState(const SharedState& aState);
  void Announce(const SharedState& aState);
  void TakeDatagram(PeerKey aSender, const Datagram& aDatagram);
  void TakeNews(PeerKey aSender, const Datagram& aDatagram);
  void Answer(PeerKey aSender, const Datagram& aDatagram);
  void PassOnAck(PeerKey aSender);

  /// Someone who waits for this daemon's probe of a third one.
  struct IndirectProbe
  {
    PeerKey asker = 0;
    std::uint32_t nonce = 0;
    TimePoint since;
  };

  const Clock& clock;
  MembershipIdentity identity;
  MembershipSettings settings;
  PollFunction poll;
  Log log;
  ControlLoop loop;
  PeerTransport transport;
  PeerTable peers;
  LoadWatch loads;
  SharedStates states;
  SoftRecords records;
  PeerExchange exchange;
  NewsSpreader spreader;
  HostListShare hostList;
  std::atomic<bool> readsHostList{ true };
  SharedStates::Validator stateHandler;
  std::function<void()> endpointsHandler;
  std::vector<std::function<void(const PeerViewPtr&)>> peersHandlers;
  PeerViewPtr view; ///< Read and written with std::atomic_load and std::atomic_store.
  std::unordered_map<PeerKey, std::vector<IndirectProbe>> indirect; ///< By the daemon probed.
  TimePoint lastSpread;
  bool endpointsChanged = false;
  bool newsScheduled = false;
};

} // namespace lagoonward
