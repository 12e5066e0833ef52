#pragma once

#include "Lagoonward/Daemon/KeyOwnerQuery.h"
#include "Lagoonward/Queueing/PoolLedger.h"
#include "Lagoonward/Queueing/SlotRegistry.h"

#include <mutex>
#include <unordered_map>

namespace lagoonward {

/// Tunables of SlotExchange.
struct SlotExchangeSettings
{
  /// An owner holds back its reply to a request that waits, so the next one is asked later than elsewhere.
  KeyOwnerQuerySettings query{ .fallbackDelay = Milliseconds(250) };
  PoolLedgerSettings ledger;
  Milliseconds updateInterval{ 20 }; ///< Between two updates of the own queues while requests wait.
  Milliseconds declareInterval{ 200 }; ///< Between two checks for requests to declare.
  Milliseconds retryDelay{ 300 };      ///< Before an unanswered update is sent again.
  /// Time without a periodic check after which this process has stood still: several intervals between two.
  Milliseconds standstillTime{ 1000 };
  /// How long after a standstill requests for slots are left to the other owner: those that are read then have waited here
  /// for an unknown time, and most have been answered elsewhere.
  Milliseconds standstillRecovery{ 500 };
  int maximumAttempts = 5; ///< Messages to one owner about one update.
};

/// Asks the owners of pools for slots and tells them of this daemon's requests there, and keeps the queues of the pools that
/// this daemon owns. A queued request takes one message before it is sent and one when it has ended, and one more for each
/// time that it polls while it waits, independent of the number of daemons; any other takes none.
///
/// An owner that does not answer is replaced by the backup for that request. The backup and a new owner know only those requests
/// in flight that have been declared to them, so for the time that these take they may give out a slot twice; the request then
/// waits at its endpoint.
class SlotExchange final : public SlotSource
{
public:
  /// Must be constructed before the membership starts; references must outlive it.
  SlotExchange(const SlotExchangeSettings& aSettings, PeerKey aSelf, KeyOwnerDirectory& aOwners,
               MembershipService& aMembership, SlotRegistry& aRegistry, const Clock& aClock);

  /// Begins to declare requests in flight to owners that do not know them. On the control thread.
  void Start();

  /// The daemons, and with them the owners, may have changed. On the control thread.
  void OnPeers(const PeerView& aView);

  /// The owners have changed without a change of the daemons. On the control thread.
  void OnOwnersChanged();

  /// Replaces the division of endpoints into pools. On the control thread.
  void SetPools(QueuePoolsPtr aPools);

  void RequestSlot(const SlotMessage& aRequest,
                   std::function<void(const SlotReply& aReply)> aAnswered) override;
  void Notify(const SlotMessage& aUpdate) override;

  /// The queues of this daemon as of their last change. Any thread.
  [[nodiscard]] PoolLedgerState State() const;

private:
  using Answered = std::function<void(const SlotReply& aReply)>;

  /// Where a request in flight is known.
  struct KnownRequest
  {
    std::uint64_t pool = 0;
    PeerKey owner = 0;      ///< See kSelf.
    bool isPending = false; ///< It is being declared to another owner.
  };

  void HandlePeer(PeerKey aSender, std::string_view aBytes,
                  const PeerTransport::Responder& aRespond);
  /// @return whether the message concerns a queue of this daemon
  bool HandleHere(const SlotMessage& aMessage, const RequestQueue::Responder& aRespond);
  void AskOwners(const SlotMessage& aRequest, const Answered& aAnswered);
  /// Sends an update to the owner that granted the slot, and to the present one.
  void NotifyOwners(SlotMessage aUpdate);
  void SendUpdate(const PeerAddress& aOwner, const SlotMessage& aUpdate, int aAttemptsLeft);
  /// Returns a slot whose grant came after the request had got another reply.
  void GiveBackLateGrant(const SlotMessage& aRequest, PeerKey aOwner);
  void RunPeriodicTasks();
  void DetectStandstill();
  /// Declares the requests in flight that the owner of their pool does not know.
  void DeclareRequests();
  void SendDeclaration(const PeerAddress& aOwner, const SlotMessage& aDeclaration);
  void LogEvent(std::uint64_t aPool, QueueEvent aEvent) const;
  void ScheduleUpdate();
  void PublishState();
  /// The primary owner of a pool; nothing if it is this daemon.
  [[nodiscard]] std::optional<PeerAddress> PrimaryOf(std::uint64_t aPool);

  SlotExchangeSettings settings;
  PeerKey self;
  const Clock& clock;
  KeyOwnerDirectory& owners;
  MembershipService& membership;
  SlotRegistry& registry;
  PoolLedger ledger; ///< Control thread only, as are the next five.
  QueuePoolsPtr pools = std::make_shared<const QueuePools>();
  std::unordered_map<PeerKey, std::uint64_t> runs; ///< The newest process of each daemon.
  std::unordered_map<std::uint64_t, KnownRequest> knownRequests; ///< Requests in flight, by lease.
  bool isUpdateScheduled = false;
  TimePoint checkedAt;  ///< Last DetectStandstill().
  TimePoint servesFrom; ///< The requests that are read earlier may be old.
  KeyOwnerQuery query;
  mutable std::mutex mutex; ///< Guards `state`.
  PoolLedgerState state;
};

} // namespace lagoonward
