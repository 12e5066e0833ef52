#include "Lagoonward/Daemon/ForwardExchange.h"

#include "Lagoonward/Daemon/PeerMessages.h"
#include "Lagoonward/Daemon/PeerRequestTypes.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Request type of an empty message, which is answered by a ForwardState.
constexpr auto kForwardQuery = ToRequestType(PeerRequest::ForwardQuery);

} // namespace

ForwardExchange::ForwardExchange(const ForwardExchangeSettings& aSettings,
                                 MembershipService& aMembership, PeerInfo aSelf,
                                 std::function<bool()> aIsLost,
                                 std::function<ForwardState()> aOwnState, const Clock& aClock)
  : settings(aSettings)
  , membership(aMembership)
  , self(std::move(aSelf))
  , isLost(std::move(aIsLost))
  , ownState(std::move(aOwnState))
  , clock(aClock)
{
  this->membership.Transport().OnRequest(
    kForwardQuery, [this](PeerKey, std::string_view, const PeerTransport::Responder& aRespond) {
      aRespond(EncodePeerMessage(this->ownState()));
    });
}

void
ForwardExchange::Start()
{
  this->membership.Loop().Every(this->settings.queryInterval, [this] { this->Query(); });
}

void
ForwardExchange::Query()
{
  if (!this->isLost()) {
    return;
  }
  const PeerViewPtr view = this->membership.Peers();
  const std::size_t half = std::min(this->settings.queriesPerRound / 2, view->peers.size());
  for (const PeerKey candidate : this->OldestCandidates(half)) {
    if (const Peer* peer = view->Find(candidate)) {
      this->QueryPeer(*peer);
    }
  }
  for (std::size_t index = 0; index < half; ++index) {
    this->QueryPeer(view->peers[this->nextPeer++ % view->peers.size()]);
  }
}

void
ForwardExchange::QueryPeer(const Peer& aPeer)
{
  this->membership.Transport().Request(
    { aPeer.key, aPeer.info.address, aPeer.info.port }, kForwardQuery, {}, this->settings.timeout,
    [this, peer = aPeer](const Result<std::string>& aReply) { this->OnReply(peer, aReply); });
}

std::vector<PeerKey>
ForwardExchange::OldestCandidates(std::size_t aCount)
{
  const std::scoped_lock lock(this->mutex);
  std::vector<std::pair<TimePoint, PeerKey>> byAge;
  byAge.reserve(this->candidates.size());
  for (const auto& [key, candidate] : this->candidates) {
    byAge.emplace_back(candidate.answeredAt, key);
  }
  std::sort(byAge.begin(), byAge.end());
  byAge.resize(std::min(byAge.size(), aCount));
  std::vector<PeerKey> keys;
  keys.reserve(byAge.size());
  for (const auto& [answeredAt, key] : byAge) {
    keys.push_back(key);
  }
  return keys;
}

void
ForwardExchange::OnReply(const Peer& aPeer, const Result<std::string>& aReply)
{
  const auto state = aReply ? DecodePeerMessage<ForwardState>(aReply.value()) : std::nullopt;
  const std::scoped_lock lock(this->mutex);
  if (!state || !state->accepts) {
    this->candidates.erase(aPeer.key);
    return;
  }
  this->candidates[aPeer.key] = { *state, aPeer.info.failureDomain == this->self.failureDomain,
                                  this->clock.Now(), 0 };
}

std::vector<ForwardTarget>
ForwardExchange::Targets()
{
  const std::scoped_lock lock(this->mutex);
  const TimePoint now = this->clock.Now();
  std::erase_if(this->candidates, [&](const auto& aEach) {
    return now - aEach.second.answeredAt > this->settings.maximumAge;
  });
  const auto cost = [this](const Candidate& aEach) {
    const double open = aEach.state.openRequests + aEach.forwarded + 1;
    return aEach.isLocal ? open : open * this->settings.localPreference;
  };
  std::vector<Candidate*> ranked;
  ranked.reserve(this->candidates.size());
  for (auto& [key, candidate] : this->candidates) {
    ranked.push_back(&candidate);
  }
  std::sort(ranked.begin(), ranked.end(), [&](const Candidate* aLeft, const Candidate* aRight) {
    return cost(*aLeft) < cost(*aRight);
  });
  ranked.resize(std::min(ranked.size(), this->settings.targets));
  std::vector<ForwardTarget> targets;
  targets.reserve(ranked.size());
  for (const Candidate* candidate : ranked) {
    targets.push_back({ candidate->state.address, candidate->state.token });
  }
  if (!ranked.empty()) {
    ++ranked.front()->forwarded;
  }
  return targets;
}

} // namespace lagoonward
