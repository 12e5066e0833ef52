#include "Lagoonward/Daemon/SlotExchange.h"

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

namespace {

const Log kLog("queue");

/// Type of the message, a SlotMessage whose response is a SlotReply; see PeerRequest.
constexpr auto kSlot = ToRequestType(PeerRequest::PoolSlot);

/// Stands for this daemon among the owners of pools.
constexpr PeerKey kSelf = 0;

} // namespace

SlotExchange::SlotExchange(const SlotExchangeSettings& aSettings, PeerKey aSelf,
                           KeyOwnerDirectory& aOwners, MembershipService& aMembership,
                           SlotRegistry& aRegistry, const Clock& aClock)
  : settings(aSettings)
  , self(aSelf)
  , clock(aClock)
  , owners(aOwners)
  , membership(aMembership)
  , registry(aRegistry)
  , ledger(aSettings.ledger, aClock)
  , checkedAt(aClock.Now())
  , query(aSettings.query, kSlot, aOwners, aMembership, aClock)
{
  this->ledger.SetListener(
    [this](std::uint64_t aPool, QueueEvent aEvent) { this->LogEvent(aPool, aEvent); });
  aMembership.Transport().OnRequest(kSlot, [this](PeerKey aSender, std::string_view aBytes,
                                                  const PeerTransport::Responder& aRespond) {
    this->HandlePeer(aSender, aBytes, aRespond);
  });
}

void
SlotExchange::Start()
{
  this->RunPeriodicTasks();
}

void
SlotExchange::RunPeriodicTasks()
{
  this->DetectStandstill();
  this->DeclareRequests();
  // Slots also become free without a message
  this->ledger.Update();
  this->PublishState();
  this->membership.Loop().After(this->settings.declareInterval,
                                [this] { this->RunPeriodicTasks(); });
}

void
SlotExchange::DetectStandstill()
{
  const TimePoint now = this->clock.Now();
  if (now - this->checkedAt > this->settings.standstillTime) {
    this->ledger.OnStandstill();
    this->servesFrom = now + this->settings.standstillRecovery;
  }
  this->checkedAt = now;
}

void
SlotExchange::HandlePeer(PeerKey aSender, std::string_view aBytes,
                         const PeerTransport::Responder& aRespond)
{
  const auto message = DecodeMessage<SlotMessage>(aBytes);
  if (!message || !message.value().IsValid()) {
    kLog.Warning("Received a malformed message about a pool's slots from a peer; answers as a "
                 "daemon that does not own the pool.");
    aRespond(EncodeMessage(SlotReply{}));
    return;
  }
  // A process that was replaced has no requests left
  std::uint64_t& run = this->runs[aSender];
  if (run != message.value().run) {
    this->ledger.OnRunEnded(run);
    run = message.value().run;
  }
  const auto respond = [aRespond, self = this->self](SlotReply aReply) {
    aReply.owner = self;
    aRespond(EncodeMessage(aReply));
  };
  const bool isApplied = this->HandleHere(message.value(), respond);
  if (message.value().action != SlotAction::Request) {
    respond({ isApplied ? SlotAnswer::Applied : SlotAnswer::NotOwner });
  }
}

bool
SlotExchange::HandleHere(const SlotMessage& aMessage, const RequestQueue::Responder& aRespond)
{
  this->DetectStandstill();
  const KeyOwnerRole role = this->owners.RoleOf(aMessage.pool);
  const bool mayBeOld =
    aMessage.action == SlotAction::Request && this->clock.Now() < this->servesFrom;
  if (role == KeyOwnerRole::None || mayBeOld) {
    if (aMessage.action == SlotAction::Request) {
      aRespond({});
    }
    return false;
  }
  const bool isApplied = this->ledger.Handle(aMessage, role == KeyOwnerRole::Primary, aRespond);
  this->PublishState();
  this->ScheduleUpdate();
  return isApplied;
}

void
SlotExchange::LogEvent(std::uint64_t aPool, QueueEvent aEvent) const
{
  kLog.Event(
    aEvent == QueueEvent::TakenOver ? "queue_taken_over" : "queue_standing",
    { { "pool", fmt::format("{:x}", aPool) }, { "service", this->pools->ServiceOf(aPool) } });
}

void
SlotExchange::ScheduleUpdate()
{
  if (this->isUpdateScheduled || this->state.waiting == 0) {
    return;
  }
  this->isUpdateScheduled = true;
  this->membership.Loop().After(this->settings.updateInterval, [this] {
    this->isUpdateScheduled = false;
    this->ledger.Update();
    this->PublishState();
    this->ScheduleUpdate();
  });
}

void
SlotExchange::PublishState()
{
  const PoolLedgerState current = this->ledger.State();
  const std::lock_guard lock(this->mutex);
  this->state = current;
}

PoolLedgerState
SlotExchange::State() const
{
  const std::lock_guard lock(this->mutex);
  return this->state;
}

void
SlotExchange::RequestSlot(const SlotMessage& aRequest,
                          std::function<void(const SlotReply& aReply)> aAnswered)
{
  this->membership.Loop().Post([this, request = aRequest, answered = std::move(aAnswered)] {
    if (this->owners.RoleOf(request.pool) == KeyOwnerRole::Primary) {
      this->HandleHere(request, answered);
    } else {
      this->AskOwners(request, answered);
    }
  });
}

void
SlotExchange::AskOwners(const SlotMessage& aRequest, const Answered& aAnswered)
{
  const auto best = std::make_shared<SlotReply>();
  const auto isAnswered = std::make_shared<bool>(false);
  KeyOwnerRequest request;
  request.key = aRequest.pool;
  request.message = EncodeMessage(aRequest);
  request.onResponse = [this, best, isAnswered, asked = aRequest](std::string_view aResponse,
                                                                  bool /*aIsLate*/) {
    const auto reply = DecodeMessage<SlotReply>(aResponse);
    if (!reply || reply.value().answer > SlotAnswer::Refused) {
      return KeyOwnerResponseStatus::Malformed;
    }
    if (*isAnswered) {
      if (reply.value().answer == SlotAnswer::Granted) {
        this->GiveBackLateGrant(asked, reply.value().owner);
      }
      return KeyOwnerResponseStatus::Completed;
    }
    if (reply.value().answer == SlotAnswer::NotOwner) {
      return KeyOwnerResponseStatus::AskNext;
    }
    *best = reply.value();
    return KeyOwnerResponseStatus::Completed;
  };
  request.onCompleted = [this, best, isAnswered, asked = aRequest, answered = aAnswered] {
    *isAnswered = true;
    if (best->answer == SlotAnswer::NotOwner) {
      this->HandleHere(asked, answered);
      return;
    }
    answered(*best);
  };
  this->query.Start(std::move(request));
}

void
SlotExchange::GiveBackLateGrant(const SlotMessage& aRequest, PeerKey aOwner)
{
  // Another owner may have the request in its queue, or has granted it a slot, so only this one is notified
  SlotMessage withdrawal = aRequest;
  withdrawal.action = SlotAction::Withdraw;
  if (const auto address = this->membership.AddressOf(aOwner)) {
    this->SendUpdate(*address, withdrawal, this->settings.maximumAttempts);
  }
  // If the request is in flight, the owner must count it at the endpoint where it is
  this->knownRequests[aRequest.lease] = {};
}

void
SlotExchange::Notify(const SlotMessage& aUpdate)
{
  this->membership.Loop().Post([this, update = aUpdate] { this->NotifyOwners(update); });
}

void
SlotExchange::NotifyOwners(SlotMessage aUpdate)
{
  // The endpoint may belong to another pool by now
  if (const std::uint64_t pool = this->pools->PoolOf(aUpdate.endpoint); pool != 0) {
    aUpdate.pool = pool;
  }
  this->HandleHere(aUpdate, [](const SlotReply&) {});
  const auto primary = this->PrimaryOf(aUpdate.pool);
  if (primary) {
    this->SendUpdate(*primary, aUpdate, this->settings.maximumAttempts);
  }
  const bool isOtherOwner =
    aUpdate.grantedBy != kSelf && (!primary || primary->key != aUpdate.grantedBy);
  const auto grantor = isOtherOwner ? this->membership.AddressOf(aUpdate.grantedBy) : std::nullopt;
  if (grantor) {
    this->SendUpdate(*grantor, aUpdate, this->settings.maximumAttempts);
  }
}

void
SlotExchange::SendUpdate(const PeerAddress& aOwner, const SlotMessage& aUpdate, int aAttemptsLeft)
{
  this->membership.Transport().Request(
    aOwner, kSlot, EncodeMessage(aUpdate), this->settings.query.timeout,
    [this, aOwner, aUpdate, aAttemptsLeft](const Result<std::string>& aResponse) {
      if (!aResponse && aAttemptsLeft > 1) {
        this->membership.Loop().After(this->settings.retryDelay,
                                      [this, aOwner, aUpdate, aAttemptsLeft] {
                                        this->SendUpdate(aOwner, aUpdate, aAttemptsLeft - 1);
                                      });
      }
    });
}

std::optional<PeerAddress>
SlotExchange::PrimaryOf(std::uint64_t aPool)
{
  if (this->owners.RoleOf(aPool) == KeyOwnerRole::Primary) {
    return std::nullopt;
  }
  const std::vector<PeerAddress> others = this->owners.OtherOwnersOf(aPool);
  return others.empty() ? std::nullopt : std::optional(others.front());
}

void
SlotExchange::OnPeers(const PeerView& aView)
{
  this->OnOwnersChanged();
  std::erase_if(this->runs, [&](const auto& aEach) {
    const bool isLive = aView.Find(aEach.first) != nullptr;
    if (!isLive) {
      this->ledger.OnRunEnded(aEach.second);
    }
    return !isLive;
  });
}

void
SlotExchange::OnOwnersChanged()
{
  this->ledger.OnOwnersChanged(
    [this](std::uint64_t aPool) { return this->owners.RoleOf(aPool) != KeyOwnerRole::None; });
  this->PublishState();
}

void
SlotExchange::SetPools(QueuePoolsPtr aPools)
{
  this->pools = aPools;
  this->ledger.SetPools(std::move(aPools));
  this->PublishState();
}

void
SlotExchange::DeclareRequests()
{
  std::unordered_map<std::uint64_t, KnownRequest> current;
  for (SlotMessage& declaration : this->registry.Declarations()) {
    const auto before = this->knownRequests.find(declaration.lease);
    KnownRequest known = before != this->knownRequests.end()
                           ? before->second
                           : KnownRequest{ declaration.pool, declaration.grantedBy };
    if (const std::uint64_t pool = this->pools->PoolOf(declaration.endpoint); pool != 0) {
      declaration.pool = pool;
    }
    const auto primary = this->PrimaryOf(declaration.pool);
    const PeerKey owner = primary ? primary->key : kSelf;
    const bool isKnown = known.pool == declaration.pool && known.owner == owner;
    if (!isKnown && !primary && this->HandleHere(declaration, [](const SlotReply&) {})) {
      known = { declaration.pool, owner };
    } else if (!isKnown && primary && !known.isPending) {
      known.isPending = true;
      this->SendDeclaration(*primary, declaration);
    }
    current[declaration.lease] = known;
  }
  this->knownRequests = std::move(current);
}

void
SlotExchange::SendDeclaration(const PeerAddress& aOwner, const SlotMessage& aDeclaration)
{
  this->membership.Transport().Request(
    aOwner, kSlot, EncodeMessage(aDeclaration), this->settings.query.timeout,
    [this, owner = aOwner.key, lease = aDeclaration.lease,
     pool = aDeclaration.pool](const Result<std::string>& aResponse) {
      const auto known = this->knownRequests.find(lease);
      // Also false after a slot there was given back, which revokes the declaration
      if (known == this->knownRequests.end() || !known->second.isPending) {
        return;
      }
      known->second.isPending = false;
      // A daemon that does not know yet that it owns the pool gets the declaration again
      const auto reply = aResponse ? DecodeMessage<SlotReply>(aResponse.value())
                                   : Result<SlotReply>(aResponse.error());
      if (reply && reply.value().answer == SlotAnswer::Applied) {
        known->second = { pool, owner };
      }
    });
}

} // namespace lagoonward
