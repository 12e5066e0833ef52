#pragma once

#include "Lagoonward/Membership/EndpointMonitor.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/PeerTable.h"
#include "Lagoonward/Membership/PeerTransport.h"
#include "Lagoonward/Membership/SharedStates.h"
#include "Lagoonward/Membership/SoftRecords.h"
#include "Lagoonward/Membership/StateTransfer.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Request handlers and requests for the state that daemons exchange over TCP, because it is too large for
/// a datagram or needs a response: the initial state of a joining daemon, repairs after missed updates,
/// shared states, endpoint profiles and soft records. Used on the control thread only.
class PeerExchange
{
public:
  /// The components that it reads and updates. All outlive it.
  struct Components
  {
    PeerTransport& transport;
    PeerTable& peers;
    EndpointMonitor& loads;
    SharedStates& states;
    SoftRecords& records;
  };

  using RecordHandler = std::function<void(std::optional<SoftRecord> aRecord)>;

  /// @param aOnUpdate  called after received state was applied, so that it is disseminated further
  PeerExchange(const Clock& aClock, Components aComponents, const MembershipSettings& aSettings,
               std::function<void()> aOnUpdate);

  /// Registers the request handlers with the transport.
  void Register();

  /// Joins if that is still due, and continues transfers of states. Must be called every tick.
  void OnTick();

  /// Compares a peer's digest with the local one. If they still differ after the local digest has been
  /// unchanged for a while, both sides exchange their states and versions.
  void CompareDigest(PeerKey aPeer, std::uint64_t aDigest);

  /// Handles the announcement of a version that a peer has; requests the state if it is newer.
  void HandleAnnouncement(PeerKey aPeer, const VersionAnnouncement& aAnnouncement);

  /// Versions to announce with the next updates.
  struct Announcements
  {
    std::vector<VersionAnnouncement> regional; ///< For this region only.
    std::vector<VersionAnnouncement> global;   ///< For all regions.
  };
  [[nodiscard]] Announcements TakeAnnouncements();

  /// Queues the announcement of a state's version.
  void QueueAnnouncement(const SharedState& aState);

  /// Fetches a profile that a load sample refers to and that is not known here.
  void FetchProfile(PeerKey aPeer, std::uint32_t aProfile);

  /// Sends a record to the daemon that is to hold it.
  void PlaceRecord(const SoftRecord& aRecord, PeerKey aHolder);

  /// Looks up a record locally, then on one daemon after the other until one has it.
  void FindRecord(std::uint64_t aKeyHash, std::vector<PeerKey> aHolders, RecordHandler aHandler);

  /// Digest of the state that a peer should share. Endpoint states and regional versions are included
  /// only for daemons of this region.
  [[nodiscard]] std::uint64_t DigestFor(PeerKey aPeer) const;

  /// See StateTransfer::LastProgress(). Any thread.
  [[nodiscard]] TimePoint LastStateProgress() const { return this->stateTransfer.LastProgress(); }

private:
  /// Requests the full state from one daemon. Stops after one success; after a failure, a later call
  /// tries the next daemon.
  void JoinIfNeeded();
  void HandleJoin(std::string_view aBytes, const PeerTransport::Responder& aRespond);
  void HandleStates(PeerKey aSender, std::string_view aBytes,
                    const PeerTransport::Responder& aRespond);
  void HandleProfile(std::string_view aBytes, const PeerTransport::Responder& aRespond);
  void HandleRecord(std::string_view aBytes, const PeerTransport::Responder& aRespond);
  void Repair(PeerKey aPeer);
  void ApplyExchange(PeerKey aPeer, const StateExchange& aExchange);
  void SendRequest(PeerKey aPeer, RequestType aType, std::string aBytes,
                   PeerTransport::ResponseHandler aHandler);
  [[nodiscard]] bool BeginFetch(std::uint64_t aKey);
  [[nodiscard]] StateExchange CollectStates(bool aRegional) const;

  const Clock& clock;
  Components components;
  const MembershipSettings& settings;
  std::function<void()> onUpdate;
  StateTransfer stateTransfer;
  Announcements announcements;                                 ///< Announcements to disseminate.
  std::unordered_map<std::uint64_t, TimePoint> pendingFetches; ///< Profiles requested, by key.
  std::uint64_t lastDigest = 0;                                ///< Of all states and versions.
  TimePoint digestSince; ///< When the local digest became lastDigest.
  TimePoint lastRepair;
  std::optional<TimePoint> lastJoin;
  std::size_t joinAttempts = 0;
  bool joined = false;
};

} // namespace lagoonward
