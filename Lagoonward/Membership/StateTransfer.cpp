#include "Lagoonward/Membership/StateTransfer.h"

#include "Lagoonward/Membership/DeltaCodec.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Transfers of one topic at a time: the one in progress, and one beside it if it makes no progress.
constexpr std::size_t kMaximumFetches = 2;

constexpr std::size_t kMaximumCandidates = 8; ///< Per topic.
constexpr std::size_t kMaximumEncodings = 16; ///< Of all topics, in memory.

/// Bytes of one piece: a small host's link carries several of them within the timeout of a request.
constexpr std::size_t kPieceBytes = 64U << 10U;

/// Longer states are refused.
constexpr std::size_t kMaximumStateBytes = 32U << 20U;

} // namespace

StateTransfer::StateTransfer(const Clock& aClock, Components aComponents,
                             const MembershipSettings& aSettings,
                             std::function<void(const SharedState&)> aOnAdopted)
  : clock(aClock)
  , components(aComponents)
  , settings(aSettings)
  , onAdopted(std::move(aOnAdopted))
  , log("membership")
{
}

void
StateTransfer::Register()
{
  this->components.transport.OnRequest(
    RequestType::SharedState,
    [this](PeerKey, std::string_view aBytes, const PeerTransport::Responder& aRespond) {
      aRespond(this->HandleRequest(aBytes));
    });
}

void
StateTransfer::OnAnnouncement(PeerKey aPeer, const VersionAnnouncement& aAnnouncement)
{
  if (!this->components.states.IsNewer(aAnnouncement)) {
    return;
  }
  Topic& topic = this->topics[aAnnouncement.topic];
  std::erase_if(topic.candidates, [&](const Candidate& aEach) {
    return !this->components.states.IsNewer({ aAnnouncement.topic, aEach.version });
  });
  const auto known = std::find_if(topic.candidates.begin(), topic.candidates.end(),
                                  [&](const Candidate& aEach) { return aEach.peer == aPeer; });
  if (known != topic.candidates.end()) {
    known->version = std::max(known->version, aAnnouncement.version);
  } else if (topic.candidates.size() < kMaximumCandidates) {
    topic.candidates.push_back({ aPeer, aAnnouncement.version });
  }
  if (topic.fetches.empty()) {
    this->StartFetch(aAnnouncement.topic);
  }
}

void
StateTransfer::OnTick()
{
  const TimePoint now = this->clock.Now();
  std::vector<std::uint64_t> stalled;
  for (const auto& [id, topic] : this->topics) {
    if (topic.fetches.size() == 1 &&
        now - topic.fetches.front().progressAt > this->settings.stateHedgeDelay) {
      stalled.push_back(id);
    }
  }
  for (const std::uint64_t id : stalled) {
    this->StartFetch(id);
  }
}

void
StateTransfer::StartFetch(std::uint64_t aTopic)
{
  Topic& topic = this->topics[aTopic];
  const auto isUsable = [&](const Candidate& aEach) {
    return this->components.states.IsNewer({ aTopic, aEach.version }) &&
           std::none_of(topic.fetches.begin(), topic.fetches.end(),
                        [&](const Fetch& aFetch) { return aFetch.from == aEach.peer; });
  };
  const Candidate* best = nullptr;
  for (const Candidate& candidate : topic.candidates) {
    if (isUsable(candidate) && (best == nullptr || candidate.version > best->version)) {
      best = &candidate;
    }
  }
  if (best == nullptr || topic.fetches.size() >= kMaximumFetches) {
    return;
  }
  Fetch fetch;
  fetch.id = this->nextFetch++;
  fetch.from = best->peer;
  fetch.startedAt = this->clock.Now();
  fetch.progressAt = fetch.startedAt;
  fetch.base = this->components.states.VersionOf(aTopic);
  topic.fetches.push_back(fetch);
  this->RequestPiece(aTopic, fetch);
}

void
StateTransfer::RequestPiece(std::uint64_t aTopic, const Fetch& aFetch)
{
  const auto onResponse = [this, aTopic, id = aFetch.id](const Result<std::string>& aResponse) {
    this->OnResponse(aTopic, id, aResponse);
  };
  const Peer* const peer = this->components.peers.Find(aFetch.from);
  if (peer == nullptr) {
    onResponse(
      Error(ErrorKind::PlatformUnavailable, "the daemon is not in the peer table any more"));
    return;
  }
  const StateRequest request{ aTopic, aFetch.base, aFetch.version, aFetch.bytes.size() };
  this->components.transport.Request({ aFetch.from, peer->info.address, peer->info.port },
                                     RequestType::SharedState, EncodeMessage(request),
                                     this->settings.requestTimeout, onResponse);
}

void
StateTransfer::OnResponse(std::uint64_t aTopic, std::uint64_t aFetch,
                          const Result<std::string>& aResponse)
{
  Fetch* const fetch = this->FindFetch(aTopic, aFetch);
  if (fetch == nullptr) {
    return;
  }
  const auto piece = aResponse ? DecodeMessage<StatePiece>(aResponse.value())
                               : Result<StatePiece>(aResponse.error());
  const std::string failure =
    piece ? this->AddPiece(aTopic, *fetch, piece.value()) : piece.error().message;
  if (!failure.empty()) {
    const auto took = std::chrono::floor<Milliseconds>(this->clock.Now() - fetch->startedAt);
    this->log.Event(LogLevel::Warning, "state_fetch_failed",
                    { { "version", fetch->version.version },
                      { "reason", failure },
                      { "took_ms", took.count() } });
    this->DropFetch(aTopic, aFetch, true);
    this->StartFetch(aTopic);
  }
}

std::string
StateTransfer::AddPiece(std::uint64_t aTopic, Fetch& aFetch, const StatePiece& aPiece)
{
  // A holder that no longer has the version of the first pieces begins anew with a later one
  if (aPiece.offset == 0) {
    aFetch.bytes.clear();
    aFetch.version = aPiece.version;
  }
  const bool continues = aPiece.offset == aFetch.bytes.size() && aPiece.version == aFetch.version;
  if (!continues || aPiece.bytes.empty() || aPiece.totalBytes > kMaximumStateBytes) {
    return "the piece does not continue the pieces before";
  }
  aFetch.bytes += aPiece.bytes;
  aFetch.progressAt = this->clock.Now();
  this->lastProgress = aFetch.progressAt;
  if (aFetch.bytes.size() < aPiece.totalBytes) {
    this->RequestPiece(aTopic, aFetch);
    return {};
  }
  return this->Complete(aTopic, aFetch, aPiece);
}

std::string
StateTransfer::Complete(std::uint64_t aTopic, const Fetch& aFetch, const StatePiece& aPiece)
{
  const std::string* const base =
    aPiece.base.IsEmpty() ? nullptr : this->components.states.FindBytes(aTopic, aPiece.base);
  if (base == nullptr && !aPiece.base.IsEmpty()) {
    return "the version that it is relative to is not retained any more";
  }
  auto text = DecodeDelta(base == nullptr ? std::string_view() : std::string_view(*base),
                          aFetch.bytes, kMaximumStateBytes);
  if (!text || HashBytes(*text) != aPiece.version.digest) {
    return "the decoded state does not match its digest";
  }
  const auto took = std::chrono::floor<Milliseconds>(this->clock.Now() - aFetch.startedAt);
  this->log.Event("state_received", { { "version", aPiece.version.version },
                                      { "base", aPiece.base.version },
                                      { "transferred", aFetch.bytes.size() },
                                      { "bytes", text->size() },
                                      { "took_ms", took.count() } });
  const SharedState state{ aPiece.name, aPiece.version.version, std::move(*text) };
  const bool isRefused = state.Topic() != aTopic || !this->components.states.Adopt(state);
  this->DropFetch(aTopic, aFetch.id, isRefused);
  if (!isRefused) {
    this->onAdopted(state);
  }
  // Versions that were announced meanwhile
  if (this->topics[aTopic].fetches.empty()) {
    this->StartFetch(aTopic);
  }
  return {};
}

void
StateTransfer::DropFetch(std::uint64_t aTopic, std::uint64_t aFetch, bool aDropCandidate)
{
  Topic& topic = this->topics[aTopic];
  const auto found = std::find_if(topic.fetches.begin(), topic.fetches.end(),
                                  [&](const Fetch& aEach) { return aEach.id == aFetch; });
  if (found == topic.fetches.end()) {
    return;
  }
  if (aDropCandidate) {
    std::erase_if(topic.candidates,
                  [&](const Candidate& aEach) { return aEach.peer == found->from; });
  }
  topic.fetches.erase(found);
}

StateTransfer::Fetch*
StateTransfer::FindFetch(std::uint64_t aTopic, std::uint64_t aFetch)
{
  auto& fetches = this->topics[aTopic].fetches;
  const auto found = std::find_if(fetches.begin(), fetches.end(),
                                  [&](const Fetch& aEach) { return aEach.id == aFetch; });
  return found == fetches.end() ? nullptr : &*found;
}

Result<std::string>
StateTransfer::HandleRequest(std::string_view aBytes)
{
  const auto request = DecodeMessage<StateRequest>(aBytes);
  if (!request) {
    return Error(ErrorKind::InvalidRequest, "the request for a state cannot be decoded");
  }
  const SharedStates& states = this->components.states;
  const std::uint64_t topic = request.value().topic;
  const SharedState* const newest = states.Find(topic);
  if (newest == nullptr) {
    return Error(ErrorKind::InvalidRequest, "no shared state with the requested topic is known");
  }
  const bool continues = states.FindBytes(topic, request.value().version) != nullptr;
  const bool hasBase = states.FindBytes(topic, request.value().base) != nullptr;
  StatePiece piece;
  piece.name = newest->name;
  piece.version = continues ? request.value().version : states.VersionOf(topic);
  piece.base = hasBase ? request.value().base : StateVersion{};
  const std::string& encoding = this->Encoding(topic, piece.version, piece.base);
  piece.offset = continues ? request.value().offset : 0;
  piece.totalBytes = encoding.size();
  if (piece.offset >= encoding.size()) {
    return Error(ErrorKind::InvalidRequest, "the requested piece begins beyond the state's end");
  }
  piece.bytes = encoding.substr(piece.offset, kPieceBytes);
  return EncodeMessage(piece);
}

const std::string&
StateTransfer::Encoding(std::uint64_t aTopic, const StateVersion& aVersion,
                        const StateVersion& aBase)
{
  const SharedStates& states = this->components.states;
  const EncodingKey key{ aTopic, aVersion.version, aBase.version };
  const auto known = this->encodings.find(key);
  if (known != this->encodings.end()) {
    return known->second;
  }
  // The lowest keys of a topic are its oldest versions
  if (this->encodings.size() >= kMaximumEncodings) {
    this->encodings.erase(this->encodings.begin());
  }
  const std::string* const base = aBase.IsEmpty() ? nullptr : states.FindBytes(aTopic, aBase);
  return this->encodings
    .emplace(key, EncodeDelta(base == nullptr ? std::string_view() : std::string_view(*base),
                              *states.FindBytes(aTopic, aVersion)))
    .first->second;
}

} // namespace lagoonward
