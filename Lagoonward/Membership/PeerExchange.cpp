#include "Lagoonward/Membership/PeerExchange.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Error of a request whose bytes make no sense.
Error
Malformed()
{
  return { ErrorKind::InvalidRequest, "the request cannot be decoded" };
}

} // namespace

PeerExchange::PeerExchange(const Clock& aClock, Parts aParts, const MembershipSettings& aSettings,
                           std::function<void()> aNews)
  : clock(aClock)
  , parts(aParts)
  , settings(aSettings)
  , news(std::move(aNews))
  , log("membership")
  , digestSince(aClock.Now())
  , lastRepair(aClock.Now())
{
}

void
PeerExchange::Register()
{
  using Respond = PeerTransport::Respond;
  PeerTransport& transport = this->parts.transport;
  transport.OnRequest(RequestType::Join,
                      [this](PeerKey, std::string_view aBytes, const Respond& aRespond) {
                        this->AnswerJoin(aBytes, aRespond);
                      });
  transport.OnRequest(RequestType::States,
                      [this](PeerKey aSender, std::string_view aBytes, const Respond& aRespond) {
                        this->AnswerStates(aSender, aBytes, aRespond);
                      });
  transport.OnRequest(RequestType::SharedState,
                      [this](PeerKey, std::string_view aBytes, const Respond& aRespond) {
                        this->AnswerSharedState(aBytes, aRespond);
                      });
  transport.OnRequest(RequestType::Models,
                      [this](PeerKey, std::string_view aBytes, const Respond& aRespond) {
                        this->AnswerProfile(aBytes, aRespond);
                      });
  transport.OnRequest(RequestType::SoftRecord,
                      [this](PeerKey, std::string_view aBytes, const Respond& aRespond) {
                        this->AnswerRecord(aBytes, aRespond);
                      });
}

void
PeerExchange::JoinIfNeeded()
{
  const TimePoint now = this->clock.Now();
  const auto& region = this->parts.peers.Region().Keys();
  const auto all = this->parts.peers.AllChanges();
  if (this->joined || all.size() < 2 ||
      (this->lastJoin && now - *this->lastJoin < this->settings.requestTimeout)) {
    return;
  }
  this->lastJoin = now;

  // A daemon of the region first; another one at each attempt
  const PeerKey self = all.front().key;
  const std::size_t attempt = this->joinAttempts++;
  const auto own = std::find(region.begin(), region.end(), self) - region.begin();
  const bool hasRegion = region.size() > 1 && attempt < region.size();
  const PeerKey peer =
    hasRegion
      ? region[(static_cast<std::size_t>(own) + 1 + attempt % (region.size() - 1)) % region.size()]
      : all[1 + attempt % (all.size() - 1)].key;
  this->Ask(peer, RequestType::Join, EncodeMessage(all.front()),
            [this, peer](const Result<std::string>& aAnswer) {
              if (!aAnswer) {
                return;
              }
              const auto exchange = DecodeMessage<StateExchange>(aAnswer.value());
              if (exchange) {
                this->joined = true;
                this->TakeExchange(peer, exchange.value());
              }
            });
}

void
PeerExchange::CompareDigest(PeerKey aPeer, std::uint64_t aDigest)
{
  const TimePoint now = this->clock.Now();
  const std::uint64_t own = this->DigestFor(aPeer);
  const std::uint64_t whole =
    CombineHashes(this->parts.loads.StateDigest(), this->parts.states.Digest(true));
  if (whole != this->lastDigest) {
    this->lastDigest = whole;
    this->digestSince = now;
  }
  // News on its way settles most differences
  const bool isSettled = now - this->digestSince >= this->settings.repairPatience;
  if (aDigest != own && isSettled && now - this->lastRepair >= this->settings.repairInterval) {
    this->Repair(aPeer);
  }
}

void
PeerExchange::TakeNote(PeerKey aPeer, const VersionNote& aNote)
{
  const std::uint64_t fetchKey =
    CombineHashes(aNote.topic, static_cast<std::uint64_t>(aNote.version));
  if (!this->parts.states.IsNews(aNote) || !this->BeginFetch(fetchKey)) {
    return;
  }
  this->Ask(aPeer, RequestType::SharedState, EncodeMessage(LookUp{ aNote.topic }),
            [this, fetchKey](const Result<std::string>& aAnswer) {
              this->fetching.erase(fetchKey);
              if (aAnswer) {
                this->AdoptState(aAnswer.value());
              }
            });
}

PeerExchange::Notes
PeerExchange::TakeNotes()
{
  return std::exchange(this->notes, {});
}

void
PeerExchange::QueueNote(const SharedState& aState)
{
  auto& target = aState.IsRegional() ? this->notes.regional : this->notes.global;
  target.push_back({ aState.Topic(), aState.version });
}

void
PeerExchange::FetchProfile(PeerKey aPeer, std::uint32_t aProfile)
{
  if (aProfile == 0 || this->parts.loads.FindProfile(aProfile) != nullptr ||
      !this->BeginFetch(aProfile)) {
    return;
  }
  this->Ask(aPeer, RequestType::Models, EncodeMessage(LookUp{ aProfile }),
            [this, aProfile](const Result<std::string>& aAnswer) {
              this->fetching.erase(aProfile);
              if (!aAnswer) {
                return;
              }
              auto profile = DecodeMessage<EndpointProfile>(aAnswer.value());
              if (profile && profile.value().Hash() == aProfile) {
                this->parts.loads.AddProfile(std::move(profile.value()));
              }
            });
}

void
PeerExchange::PlaceRecord(const SoftRecord& aRecord, PeerKey aHolder)
{
  this->Ask(aHolder, RequestType::SoftRecord, EncodeMessage(RecordRequest{ true, aRecord }),
            [](const Result<std::string>&) {});
}

void
PeerExchange::FindRecord(std::uint64_t aKeyHash, std::vector<PeerKey> aHolders, Found aFound)
{
  if (auto own = this->parts.records.Find(aKeyHash)) {
    aFound(std::move(own));
    return;
  }
  if (aHolders.empty()) {
    aFound(std::nullopt);
    return;
  }
  const PeerKey holder = aHolders.front();
  aHolders.erase(aHolders.begin());
  RecordRequest request;
  request.record.keyHash = aKeyHash;
  this->Ask(holder, RequestType::SoftRecord, EncodeMessage(request),
            [this, aKeyHash, rest = std::move(aHolders),
             found = std::move(aFound)](const Result<std::string>& aAnswer) {
              if (aAnswer) {
                const auto record = DecodeMessage<SoftRecord>(aAnswer.value());
                if (record && record.value().keyHash == aKeyHash) {
                  found(record.value());
                  return;
                }
              }
              this->FindRecord(aKeyHash, rest, found);
            });
}

std::uint64_t
PeerExchange::DigestFor(PeerKey aPeer) const
{
  if (!this->parts.peers.IsRegional(aPeer)) {
    return this->parts.states.Digest(false);
  }
  return CombineHashes(this->parts.loads.StateDigest(), this->parts.states.Digest(true));
}

void
PeerExchange::AnswerJoin(std::string_view aBytes, const PeerTransport::Respond& aRespond)
{
  const auto joiner = DecodeMessage<PeerChange>(aBytes);
  if (!joiner) {
    aRespond(Malformed());
    return;
  }
  this->parts.peers.Apply(joiner.value());
  const bool isRegional = this->parts.peers.IsRegional(joiner.value().key);
  StateExchange exchange = this->CollectStates(isRegional);
  exchange.peers = this->parts.peers.AllChanges();
  if (isRegional) {
    exchange.loads = this->parts.loads.AllLoads();
  }
  aRespond(EncodeMessage(exchange));
}

void
PeerExchange::AnswerStates(PeerKey aSender, std::string_view aBytes,
                           const PeerTransport::Respond& aRespond)
{
  const auto exchange = DecodeMessage<StateExchange>(aBytes);
  if (!exchange) {
    aRespond(Malformed());
    return;
  }
  this->TakeExchange(aSender, exchange.value());
  aRespond(EncodeMessage(this->CollectStates(this->parts.peers.IsRegional(aSender))));
}

void
PeerExchange::AnswerSharedState(std::string_view aBytes, const PeerTransport::Respond& aRespond)
{
  const auto wanted = DecodeMessage<LookUp>(aBytes);
  const SharedState* const state = wanted ? this->parts.states.Find(wanted.value().key) : nullptr;
  if (state == nullptr) {
    aRespond(Error(ErrorKind::InvalidRequest, "no such shared state"));
    return;
  }
  aRespond(EncodeMessage(*state));
}

void
PeerExchange::AnswerProfile(std::string_view aBytes, const PeerTransport::Respond& aRespond)
{
  const auto wanted = DecodeMessage<LookUp>(aBytes);
  const EndpointProfile* const profile =
    wanted ? this->parts.loads.FindProfile(static_cast<std::uint32_t>(wanted.value().key))
           : nullptr;
  if (profile == nullptr) {
    aRespond(Error(ErrorKind::InvalidRequest, "no such profile"));
    return;
  }
  aRespond(EncodeMessage(*profile));
}

void
PeerExchange::AnswerRecord(std::string_view aBytes, const PeerTransport::Respond& aRespond)
{
  const auto request = DecodeMessage<RecordRequest>(aBytes);
  if (!request) {
    aRespond(Malformed());
    return;
  }
  if (request.value().isPlacement) {
    this->parts.records.Put(request.value().record);
    aRespond(std::string());
    return;
  }
  const auto record = this->parts.records.Find(request.value().record.keyHash);
  if (!record) {
    aRespond(Error(ErrorKind::InvalidRequest, "no such record"));
    return;
  }
  aRespond(EncodeMessage(*record));
}

void
PeerExchange::Repair(PeerKey aPeer)
{
  this->lastRepair = this->clock.Now();
  const bool isRegional = this->parts.peers.IsRegional(aPeer);
  this->Ask(aPeer, RequestType::States, EncodeMessage(this->CollectStates(isRegional)),
            [this, aPeer](const Result<std::string>& aAnswer) {
              const auto exchange = aAnswer ? DecodeMessage<StateExchange>(aAnswer.value())
                                            : Result<StateExchange>(aAnswer.error());
              if (exchange) {
                this->TakeExchange(aPeer, exchange.value());
              }
            });
}

void
PeerExchange::TakeExchange(PeerKey aPeer, const StateExchange& aExchange)
{
  for (const PeerChange& change : aExchange.peers) {
    this->parts.peers.Apply(change);
  }
  for (const StateFact& fact : aExchange.states) {
    this->parts.loads.Merge(fact);
  }
  for (const LoadFact& fact : aExchange.loads) {
    this->parts.loads.Merge(fact);
    this->FetchProfile(aPeer, fact.profile);
  }
  for (const VersionNote& note : aExchange.versions) {
    this->TakeNote(aPeer, note);
  }
  this->news();
}

void
PeerExchange::AdoptState(std::string_view aBytes)
{
  auto state = DecodeMessage<SharedState>(aBytes);
  if (!state) {
    return;
  }
  if (this->parts.states.Adopt(state.value())) {
    this->QueueNote(state.value());
    this->news();
  }
}

void
PeerExchange::Ask(PeerKey aPeer, RequestType aType, std::string aBytes,
                  PeerTransport::AnswerHandler aHandler)
{
  const Peer* const peer = this->parts.peers.Find(aPeer);
  if (peer == nullptr) {
    aHandler(Error(ErrorKind::PlatformUnavailable, "that daemon is not known"));
    return;
  }
  this->parts.transport.Request({ aPeer, peer->info.address, peer->info.port }, aType,
                                std::move(aBytes), this->settings.requestTimeout,
                                std::move(aHandler));
}

bool
PeerExchange::BeginFetch(std::uint64_t aKey)
{
  const TimePoint now = this->clock.Now();
  std::erase_if(this->fetching, [&](const auto& aItem) {
    return now - aItem.second > 2 * this->settings.requestTimeout;
  });
  return this->fetching.emplace(aKey, now).second;
}

StateExchange
PeerExchange::CollectStates(bool aRegional) const
{
  StateExchange exchange;
  if (aRegional) {
    exchange.states = this->parts.loads.AllStates();
  }
  exchange.versions = this->parts.states.Notes(aRegional);
  return exchange;
}

} // namespace lagoonward
