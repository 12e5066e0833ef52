#include "Lagoonward/Daemon/PlaceExchange.h"

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Daemon/LimitTokenExchange.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <algorithm>

namespace lagoonward {

namespace {

const Log kLog("limits");

/// Type of the message, a PlaceMessage whose response is a PlaceReply; see PeerRequest.
constexpr auto kPlace = ToRequestType(PeerRequest::EndpointPlace);

} // namespace

PlaceExchange::PlaceExchange(const PlaceExchangeSettings& aSettings, KeyOwnerDirectory& aOwners,
                             MembershipService& aMembership, PlaceRegistry& aRegistry,
                             BrittleServices& aBrittleServices, const Clock& aClock)
  : settings(aSettings)
  , owners(aOwners)
  , membership(aMembership)
  , registry(aRegistry)
  , brittleServices(aBrittleServices)
  , ledger(aSettings.places, aClock)
  , query(aSettings.query, kPlace, aOwners, aMembership, aClock)
{
  aMembership.Transport().OnRequest(kPlace, [this](PeerKey aSender, std::string_view aBytes,
                                                   const PeerTransport::Responder& aRespond) {
    this->HandlePeer(aSender, aBytes, aRespond);
  });
}

void
PlaceExchange::Start()
{
  this->DeclareRequests();
}

void
PlaceExchange::HandlePeer(PeerKey aSender, std::string_view aBytes,
                          const PeerTransport::Responder& aRespond)
{
  const auto message = DecodeMessage<PlaceMessage>(aBytes);
  if (!message || message.value().action > PlaceAction::ReportRejected) {
    kLog.Warning("Received a malformed message about an endpoint's places from a peer; answers as "
                 "a daemon that does not own the endpoint.");
    aRespond(EncodeMessage(PlaceReply{}));
    return;
  }
  // A process that was replaced has no requests left
  std::uint64_t& run = this->runs[aSender];
  if (run != message.value().run) {
    this->ledger.OnRunEnded(run);
    run = message.value().run;
  }
  const auto respond = [aRespond](const PlaceReply& aReply) { aRespond(EncodeMessage(aReply)); };
  this->HandleHere(message.value(), respond);
  if (message.value().action != PlaceAction::Request) {
    respond({});
  }
}

void
PlaceExchange::HandleHere(const PlaceMessage& aMessage, const PlaceLedger::Responder& aRespond)
{
  this->ledger.Handle(aMessage, ReserveRoleOf(this->owners, aMessage.endpoint),
                      this->owners.IsStableFor(this->ledger.TakeoverDelay()), aRespond);
  if (aMessage.action == PlaceAction::Request && aMessage.waitMs > 0) {
    this->membership.Loop().After(Milliseconds(aMessage.waitMs), [this] { this->ledger.Expire(); });
  }
}

void
PlaceExchange::RequestPlace(const PlaceMessage& aRequest,
                            std::function<void(const PlaceReply& aReply)> aAnswered)
{
  this->membership.Loop().Post([this, request = aRequest, answered = std::move(aAnswered)] {
    const auto onReply = [this, request, answered](const PlaceReply& aReply) {
      if (aReply.answer == PlaceAnswer::Granted) {
        this->membership.Loop().Post([this, request] { this->NotifyBackup(request); });
      }
      answered(aReply);
    };
    if (this->owners.RoleOf(request.endpoint) == KeyOwnerRole::Primary) {
      this->HandleHere(request, onReply);
    } else {
      this->AskOwners(request, onReply);
    }
  });
}

void
PlaceExchange::AskOwners(const PlaceMessage& aRequest, const Answered& aAnswered)
{
  const auto best = std::make_shared<PlaceReply>();
  const auto isAnswered = std::make_shared<bool>(false);
  KeyOwnerRequest request;
  request.key = aRequest.endpoint;
  request.message = EncodeMessage(aRequest);
  request.onResponse = [this, best, isAnswered, asked = aRequest](std::string_view aResponse,
                                                                  bool /*aIsLate*/) {
    const auto reply = DecodeMessage<PlaceReply>(aResponse);
    if (!reply || reply.value().answer > PlaceAnswer::Full) {
      return KeyOwnerResponseStatus::Malformed;
    }
    const bool isGranted = reply.value().answer == PlaceAnswer::Granted;
    if (*isAnswered) {
      // A place that came too late is given back
      if (isGranted && best->answer != PlaceAnswer::Granted) {
        PlaceMessage release = asked;
        release.action = PlaceAction::Release;
        this->NotifyOwners(release);
      }
      return KeyOwnerResponseStatus::Completed;
    }
    if (reply.value().answer != PlaceAnswer::NotOwner) {
      *best = reply.value();
    }
    // The primary knows best whether there is room; the backup is asked only if it does not answer
    return reply.value().answer == PlaceAnswer::NotOwner ? KeyOwnerResponseStatus::AskNext
                                                         : KeyOwnerResponseStatus::Completed;
  };
  request.onCompleted = [this, best, isAnswered, asked = aRequest, answered = aAnswered] {
    *isAnswered = true;
    if (best->answer == PlaceAnswer::NotOwner &&
        this->owners.RoleOf(asked.endpoint) != KeyOwnerRole::None) {
      this->HandleHere(asked, answered);
      return;
    }
    answered(*best);
  };
  this->query.Start(std::move(request));
}

void
PlaceExchange::Notify(const PlaceMessage& aUpdate)
{
  this->membership.Loop().Post([this, update = aUpdate] { this->NotifyOwners(update); });
}

void
PlaceExchange::NotifyOwners(const PlaceMessage& aUpdate)
{
  this->HandleHere(aUpdate, [](const PlaceReply&) {});
  for (const PeerAddress& owner : this->owners.OtherOwnersOf(aUpdate.endpoint)) {
    this->SendUpdate(owner, aUpdate, this->settings.maximumAttempts);
  }
}

void
PlaceExchange::NotifyBackup(const PlaceMessage& aGranted)
{
  PlaceMessage declaration = aGranted;
  declaration.action = PlaceAction::Declare;
  const KeyOwnerRole role = this->owners.RoleOf(aGranted.endpoint);
  if (role == KeyOwnerRole::Backup) {
    this->HandleHere(declaration, [](const PlaceReply&) {});
    return;
  }
  const std::vector<PeerAddress> others = this->owners.OtherOwnersOf(aGranted.endpoint);
  const std::size_t backup = role == KeyOwnerRole::Primary ? 0 : 1;
  if (backup < others.size()) {
    this->SendUpdate(others[backup], declaration, 1);
  }
}

void
PlaceExchange::SendUpdate(const PeerAddress& aOwner, const PlaceMessage& aUpdate, int aAttemptsLeft)
{
  this->membership.Transport().Request(
    aOwner, kPlace, EncodeMessage(aUpdate), this->settings.query.timeout,
    [this, aOwner, aUpdate, aAttemptsLeft](const Result<std::string>& aResponse) {
      const bool isObsolete =
        aUpdate.action == PlaceAction::Declare && !this->registry.Contains(aUpdate.lease);
      if (!aResponse && !isObsolete && aAttemptsLeft > 1) {
        this->membership.Loop().After(this->settings.retryDelay,
                                      [this, aOwner, aUpdate, aAttemptsLeft] {
                                        this->SendUpdate(aOwner, aUpdate, aAttemptsLeft - 1);
                                      });
      }
    });
}

void
PlaceExchange::OnPeers(const PeerView& aView)
{
  this->haveOwnersChanged = true;
  this->ledger.OnOwnersChanged([this](std::uint64_t aEndpoint) {
    return this->owners.RoleOf(aEndpoint) != KeyOwnerRole::None;
  });
  std::erase_if(this->runs, [&](const auto& aEach) {
    const bool isLive = std::any_of(aView.peers.begin(), aView.peers.end(), [&](const Peer& aPeer) {
      return aPeer.info.Key() == aEach.first;
    });
    if (!isLive) {
      this->ledger.OnRunEnded(aEach.second);
    }
    return !isLive;
  });
}

void
PlaceExchange::DeclareRequests()
{
  if (this->brittleServices.Count() > 0) {
    const auto isBrittle = [this](std::string_view aService) {
      return this->brittleServices.IsBrittle(aService);
    };
    for (const PlaceMessage& message :
         this->registry.Declarations(isBrittle, this->haveOwnersChanged)) {
      this->NotifyOwners(message);
    }
    this->haveOwnersChanged = false;
  }
  this->membership.Loop().After(this->settings.declareInterval,
                                [this] { this->DeclareRequests(); });
}

} // namespace lagoonward
