#pragma once

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Membership/LoadWatch.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/PeerTable.h"
#include "Lagoonward/Membership/PeerTransport.h"
#include "Lagoonward/Membership/SharedStates.h"
#include "Lagoonward/Membership/SoftRecords.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// What daemons exchange over TCP, because it is too large for a datagram or must be answered: all
/// that a joining daemon needs, repairs of missed news, shared states, endpoint profiles and soft
/// records. Lives on the control thread.
class PeerExchange
{
public:
  /// The parts it reads and fills. All outlive it.
  struct Parts
  {
    PeerTransport& transport;
    PeerTable& peers;
    LoadWatch& loads;
    SharedStates& states;
    SoftRecords& records;
  };

  using Found = std::function<void(std::optional<SoftRecord> aRecord)>;

  /// @param aNews  called after something new was taken in, so that it is passed on
  PeerExchange(const Clock& aClock, Parts aParts, const MembershipSettings& aSettings,
               std::function<void()> aNews);

  /// Registers the handlers of this side with the transport.
  void Register();

  /// Asks one daemon for all that it knows, once; the next one when that fails.
  void JoinIfNeeded();

  /// Compares a digest that a peer sent. When the two have differed for a while without news, both
  /// tell each other their states and versions.
  void CompareDigest(PeerKey aPeer, std::uint64_t aDigest);

  /// Takes a version that a peer has; fetches the state when it is newer.
  void TakeNote(PeerKey aPeer, const VersionNote& aNote);

  /// Versions to pass on with the next news.
  struct Notes
  {
    std::vector<VersionNote> regional; ///< For this region only.
    std::vector<VersionNote> global;   ///< For all regions.
  };
  [[nodiscard]] Notes TakeNotes();

  /// Queues a state's version to be passed on.
  void QueueNote(const SharedState& aState);

  /// Fetches a profile that a load names and that is not known here.
  void FetchProfile(PeerKey aPeer, std::uint32_t aProfile);

  /// Sends a record to its holder, or keeps it when that is this daemon.
  void PlaceRecord(const SoftRecord& aRecord, PeerKey aHolder);

  /// Asks the daemons one after the other until one has the record.
  void FindRecord(std::uint64_t aKeyHash, std::vector<PeerKey> aHolders, Found aFound);

  /// Digest of all that a peer should know as well: endpoints' states and regional versions concern
  /// only daemons of this region.
  [[nodiscard]] std::uint64_t DigestFor(PeerKey aPeer) const;

private:
  void AnswerJoin(std::string_view aBytes, const PeerTransport::Respond& aRespond);
  void AnswerStates(PeerKey aSender, std::string_view aBytes,
                    const PeerTransport::Respond& aRespond);
  void AnswerSharedState(std::string_view aBytes, const PeerTransport::Respond& aRespond);
  void AnswerProfile(std::string_view aBytes, const PeerTransport::Respond& aRespond);
  void AnswerRecord(std::string_view aBytes, const PeerTransport::Respond& aRespond);
  void Repair(PeerKey aPeer);
  void TakeExchange(PeerKey aPeer, const StateExchange& aExchange);
  void AdoptState(std::string_view aBytes);
  void Ask(PeerKey aPeer, RequestType aType, std::string aBytes,
           PeerTransport::AnswerHandler aHandler);
  [[nodiscard]] bool BeginFetch(std::uint64_t aKey);
  [[nodiscard]] StateExchange CollectStates(bool aRegional) const;

  const Clock& clock;
  Parts parts;
  const MembershipSettings& settings;
  std::function<void()> news;
  Log log;
  Notes notes;                                           ///< To be passed on.
  std::unordered_map<std::uint64_t, TimePoint> fetching; ///< States and profiles asked for, by key.
  std::uint64_t lastDigest = 0;                          ///< Of everything.
  TimePoint digestSince; ///< Since when the digest here is lastDigest.
  TimePoint lastRepair;
  std::optional<TimePoint> lastJoin;
  std::size_t joinAttempts = 0;
  bool joined = false;
};

} // namespace lagoonward
