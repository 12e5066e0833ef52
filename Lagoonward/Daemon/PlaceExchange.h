#pragma once

#include "Lagoonward/Admission/BrittleServices.h"
#include "Lagoonward/Admission/PlaceRegistry.h"
#include "Lagoonward/Daemon/KeyOwnerQuery.h"

#include <unordered_map>

namespace lagoonward {

/// Tunables of PlaceExchange.
struct PlaceExchangeSettings
{
  /// An owner replies late to a request that waits for a place, so the next one is asked later than elsewhere.
  KeyOwnerQuerySettings query{ .fallbackDelay = Milliseconds(300) };
  PlaceSettings places;
  Milliseconds declareInterval{
    200
  }; ///< Between two checks for requests that the owners do not know of.
  Milliseconds retryDelay{ 300 }; ///< Before an unanswered update is sent again.
  int maximumAttempts = 5;        ///< Messages to one owner about one update.
};

/// Asks the owners of brittle endpoints for places, tells them of this daemon's requests there, and gives out the places
/// of the endpoints that this daemon owns. A request to a brittle endpoint takes one message before it is sent, one to the
/// backup owner and one to each owner when it has ended, independent of the number of daemons; any other takes none.
class PlaceExchange final : public PlaceSource
{
public:
  /// Must be constructed before the membership starts; references must outlive it.
  PlaceExchange(const PlaceExchangeSettings& aSettings, KeyOwnerDirectory& aOwners,
                MembershipService& aMembership, PlaceRegistry& aRegistry,
                BrittleServices& aBrittleServices, const Clock& aClock);

  /// Begins to tell the owners of requests in flight. On the control thread.
  void Start();

  /// The daemons, and with them the owners, may have changed. On the control thread.
  void OnPeers(const PeerView& aView);

  void RequestPlace(const PlaceMessage& aRequest,
                    std::function<void(const PlaceReply& aReply)> aAnswered) override;
  void Notify(const PlaceMessage& aUpdate) override;

private:
  using Answered = std::function<void(const PlaceReply& aReply)>;

  void HandlePeer(PeerKey aSender, std::string_view aBytes,
                  const PeerTransport::Responder& aRespond);
  void HandleHere(const PlaceMessage& aMessage, const PlaceLedger::Responder& aRespond);
  void AskOwners(const PlaceMessage& aRequest, const Answered& aAnswered);
  void NotifyOwners(const PlaceMessage& aUpdate);
  /// Tells the backup owner of a place that the primary has granted, so that it can take over at any time.
  void NotifyBackup(const PlaceMessage& aGranted);
  void SendUpdate(const PeerAddress& aOwner, const PlaceMessage& aUpdate, int aAttemptsLeft);
  void DeclareRequests();

  PlaceExchangeSettings settings;
  KeyOwnerDirectory& owners;
  MembershipService& membership;
  PlaceRegistry& registry;
  BrittleServices& brittleServices;
  PlaceLedger ledger;                              ///< Control thread only, as are the next two.
  std::unordered_map<PeerKey, std::uint64_t> runs; ///< The newest process of each daemon.
  bool haveOwnersChanged = false;                  ///< Since the last declarations.
  KeyOwnerQuery query;
};

} // namespace lagoonward
