#include "Lagoonward/Membership/PeerExchange.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Error for a request that cannot be decoded.
Error
MalformedRequest()
{
  return { ErrorKind::InvalidRequest, "the request body cannot be decoded" };
}

} // namespace

PeerExchange::PeerExchange(const Clock& aClock, Components aComponents,
                           const MembershipSettings& aSettings, std::function<void()> aOnUpdate)
  : clock(aClock)
  , components(aComponents)
  , settings(aSettings)
  , onUpdate(std::move(aOnUpdate))
  , stateTransfer(aClock, { aComponents.transport, aComponents.peers, aComponents.states },
                  aSettings,
                  [this](const SharedState& aState) {
                    this->QueueAnnouncement(aState);
                    this->onUpdate();
                  })
  , digestSince(aClock.Now())
  , lastRepair(aClock.Now())
{
}

void
PeerExchange::Register()
{
  using Respond = PeerTransport::Responder;
  PeerTransport& transport = this->components.transport;
  transport.OnRequest(RequestType::Join,
                      [this](PeerKey, std::string_view aBytes, const Respond& aRespond) {
                        this->HandleJoin(aBytes, aRespond);
                      });
  transport.OnRequest(RequestType::States,
                      [this](PeerKey aSender, std::string_view aBytes, const Respond& aRespond) {
                        this->HandleStates(aSender, aBytes, aRespond);
                      });
  this->stateTransfer.Register();
  transport.OnRequest(RequestType::Models,
                      [this](PeerKey, std::string_view aBytes, const Respond& aRespond) {
                        this->HandleProfile(aBytes, aRespond);
                      });
  transport.OnRequest(RequestType::SoftRecord,
                      [this](PeerKey, std::string_view aBytes, const Respond& aRespond) {
                        this->HandleRecord(aBytes, aRespond);
                      });
}

void
PeerExchange::JoinIfNeeded()
{
  const TimePoint now = this->clock.Now();
  const auto& region = this->components.peers.Region().Keys();
  const auto all = this->components.peers.AllChanges();
  if (this->joined || all.size() < 2 ||
      (this->lastJoin && now - *this->lastJoin < this->settings.requestTimeout)) {
    return;
  }
  this->lastJoin = now;

  // Tries the daemons of the region first, a different one at each attempt
  const PeerKey self = all.front().key;
  const std::size_t attempt = this->joinAttempts++;
  const auto own = std::find(region.begin(), region.end(), self) - region.begin();
  const bool hasRegion = region.size() > 1 && attempt < region.size();
  const PeerKey peer =
    hasRegion
      ? region[(static_cast<std::size_t>(own) + 1 + attempt % (region.size() - 1)) % region.size()]
      : all[1 + attempt % (all.size() - 1)].key;
  this->SendRequest(peer, RequestType::Join, EncodeMessage(all.front()),
                    [this, peer](const Result<std::string>& aResponse) {
                      if (!aResponse) {
                        return;
                      }
                      const auto exchange = DecodeMessage<StateExchange>(aResponse.value());
                      if (exchange) {
                        this->joined = true;
                        this->ApplyExchange(peer, exchange.value());
                      }
                    });
}

void
PeerExchange::CompareDigest(PeerKey aPeer, std::uint64_t aDigest)
{
  const TimePoint now = this->clock.Now();
  const std::uint64_t own = this->DigestFor(aPeer);
  const std::uint64_t fullDigest =
    CombineHashes(this->components.loads.StateDigest(), this->components.states.Digest(true));
  if (fullDigest != this->lastDigest) {
    this->lastDigest = fullDigest;
    this->digestSince = now;
  }
  // Updates in flight resolve most differences without a repair
  const bool isStable = now - this->digestSince >= this->settings.repairDelay;
  if (aDigest != own && isStable && now - this->lastRepair >= this->settings.repairInterval) {
    this->Repair(aPeer);
  }
}

void
PeerExchange::HandleAnnouncement(PeerKey aPeer, const VersionAnnouncement& aAnnouncement)
{
  this->stateTransfer.OnAnnouncement(aPeer, aAnnouncement);
}

void
PeerExchange::OnTick()
{
  this->JoinIfNeeded();
  this->stateTransfer.OnTick();
}

PeerExchange::Announcements
PeerExchange::TakeAnnouncements()
{
  return std::exchange(this->announcements, {});
}

void
PeerExchange::QueueAnnouncement(const SharedState& aState)
{
  auto& target = aState.IsRegional() ? this->announcements.regional : this->announcements.global;
  target.push_back({ aState.Topic(), aState.version });
}

void
PeerExchange::FetchProfile(PeerKey aPeer, std::uint32_t aProfile)
{
  if (aProfile == 0 || this->components.loads.FindProfile(aProfile) != nullptr ||
      !this->BeginFetch(aProfile)) {
    return;
  }
  this->SendRequest(aPeer, RequestType::Models, EncodeMessage(LookupRequest{ aProfile }),
                    [this, aProfile](const Result<std::string>& aResponse) {
                      this->pendingFetches.erase(aProfile);
                      if (!aResponse) {
                        return;
                      }
                      auto profile = DecodeMessage<EndpointProfile>(aResponse.value());
                      if (profile && profile.value().Hash() == aProfile) {
                        this->components.loads.AddProfile(std::move(profile.value()));
                      }
                    });
}

void
PeerExchange::PlaceRecord(const SoftRecord& aRecord, PeerKey aHolder)
{
  this->SendRequest(aHolder, RequestType::SoftRecord, EncodeMessage(RecordRequest{ true, aRecord }),
                    [](const Result<std::string>&) {});
}

void
PeerExchange::FindRecord(std::uint64_t aKeyHash, std::vector<PeerKey> aHolders,
                         RecordHandler aHandler)
{
  if (auto own = this->components.records.Find(aKeyHash)) {
    aHandler(std::move(own));
    return;
  }
  if (aHolders.empty()) {
    aHandler(std::nullopt);
    return;
  }
  const PeerKey holder = aHolders.front();
  aHolders.erase(aHolders.begin());
  RecordRequest request;
  request.record.keyHash = aKeyHash;
  this->SendRequest(holder, RequestType::SoftRecord, EncodeMessage(request),
                    [this, aKeyHash, rest = std::move(aHolders),
                     handler = std::move(aHandler)](const Result<std::string>& aResponse) {
                      if (aResponse) {
                        const auto record = DecodeMessage<SoftRecord>(aResponse.value());
                        if (record && record.value().keyHash == aKeyHash) {
                          handler(record.value());
                          return;
                        }
                      }
                      this->FindRecord(aKeyHash, rest, handler);
                    });
}

std::uint64_t
PeerExchange::DigestFor(PeerKey aPeer) const
{
  if (!this->components.peers.IsRegional(aPeer)) {
    return this->components.states.Digest(false);
  }
  return CombineHashes(this->components.loads.StateDigest(), this->components.states.Digest(true));
}

void
PeerExchange::HandleJoin(std::string_view aBytes, const PeerTransport::Responder& aRespond)
{
  const auto joiner = DecodeMessage<PeerChange>(aBytes);
  if (!joiner) {
    aRespond(MalformedRequest());
    return;
  }
  this->components.peers.Apply(joiner.value());
  const bool isRegional = this->components.peers.IsRegional(joiner.value().key);
  StateExchange exchange = this->CollectStates(isRegional);
  exchange.peers = this->components.peers.AllChanges();
  if (isRegional) {
    exchange.loads = this->components.loads.AllLoads();
  }
  aRespond(EncodeMessage(exchange));
}

void
PeerExchange::HandleStates(PeerKey aSender, std::string_view aBytes,
                           const PeerTransport::Responder& aRespond)
{
  const auto exchange = DecodeMessage<StateExchange>(aBytes);
  if (!exchange) {
    aRespond(MalformedRequest());
    return;
  }
  this->ApplyExchange(aSender, exchange.value());
  aRespond(EncodeMessage(this->CollectStates(this->components.peers.IsRegional(aSender))));
}

void
PeerExchange::HandleProfile(std::string_view aBytes, const PeerTransport::Responder& aRespond)
{
  const auto lookup = DecodeMessage<LookupRequest>(aBytes);
  const EndpointProfile* const profile =
    lookup ? this->components.loads.FindProfile(static_cast<std::uint32_t>(lookup.value().key))
           : nullptr;
  if (profile == nullptr) {
    aRespond(Error(ErrorKind::InvalidRequest,
                   "no endpoint profile with the requested hash is known here"));
    return;
  }
  aRespond(EncodeMessage(*profile));
}

void
PeerExchange::HandleRecord(std::string_view aBytes, const PeerTransport::Responder& aRespond)
{
  const auto request = DecodeMessage<RecordRequest>(aBytes);
  if (!request) {
    aRespond(MalformedRequest());
    return;
  }
  if (request.value().isPlacement) {
    this->components.records.Put(request.value().record);
    aRespond(std::string());
    return;
  }
  const auto record = this->components.records.Find(request.value().record.keyHash);
  if (!record) {
    aRespond(
      Error(ErrorKind::InvalidRequest, "no soft record with the requested key is held here"));
    return;
  }
  aRespond(EncodeMessage(*record));
}

void
PeerExchange::Repair(PeerKey aPeer)
{
  this->lastRepair = this->clock.Now();
  const bool isRegional = this->components.peers.IsRegional(aPeer);
  this->SendRequest(aPeer, RequestType::States, EncodeMessage(this->CollectStates(isRegional)),
                    [this, aPeer](const Result<std::string>& aResponse) {
                      const auto exchange = aResponse
                                              ? DecodeMessage<StateExchange>(aResponse.value())
                                              : Result<StateExchange>(aResponse.error());
                      if (exchange) {
                        this->ApplyExchange(aPeer, exchange.value());
                      }
                    });
}

void
PeerExchange::ApplyExchange(PeerKey aPeer, const StateExchange& aExchange)
{
  for (const PeerChange& change : aExchange.peers) {
    this->components.peers.Apply(change);
  }
  for (const EndpointStateUpdate& update : aExchange.states) {
    this->components.loads.Merge(update);
  }
  for (const EndpointLoadUpdate& update : aExchange.loads) {
    this->components.loads.Merge(update);
    this->FetchProfile(aPeer, update.profile);
  }
  for (const VersionAnnouncement& announcement : aExchange.versions) {
    this->HandleAnnouncement(aPeer, announcement);
  }
  this->onUpdate();
}

void
PeerExchange::SendRequest(PeerKey aPeer, RequestType aType, std::string aBytes,
                          PeerTransport::ResponseHandler aHandler)
{
  const Peer* const peer = this->components.peers.Find(aPeer);
  if (peer == nullptr) {
    aHandler(Error(ErrorKind::PlatformUnavailable,
                   "the request was not sent: the daemon is not in the peer table"));
    return;
  }
  this->components.transport.Request({ aPeer, peer->info.address, peer->info.port }, aType,
                                     std::move(aBytes), this->settings.requestTimeout,
                                     std::move(aHandler));
}

bool
PeerExchange::BeginFetch(std::uint64_t aKey)
{
  const TimePoint now = this->clock.Now();
  std::erase_if(this->pendingFetches, [&](const auto& aItem) {
    return now - aItem.second > 2 * this->settings.requestTimeout;
  });
  return this->pendingFetches.emplace(aKey, now).second;
}

StateExchange
PeerExchange::CollectStates(bool aRegional) const
{
  StateExchange exchange;
  if (aRegional) {
    exchange.states = this->components.loads.AllStates();
  }
  exchange.versions = this->components.states.VersionAnnouncements(aRegional);
  return exchange;
}

} // namespace lagoonward
