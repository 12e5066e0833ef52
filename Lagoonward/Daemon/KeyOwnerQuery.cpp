#include "Lagoonward/Daemon/KeyOwnerQuery.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

KeyOwnerQuery::KeyOwnerQuery(const KeyOwnerQuerySettings& aSettings, RequestType aType,
                             KeyOwnerDirectory& aOwners, MembershipService& aMembership,
                             const Clock& aClock)
  : settings(aSettings)
  , type(aType)
  , owners(aOwners)
  , membership(aMembership)
  , clock(aClock)
{
}

void
KeyOwnerQuery::Start(KeyOwnerRequest aRequest)
{
  auto query = std::make_shared<Query>();
  query->request = std::move(aRequest);
  this->membership.Loop().Post([this, query] {
    query->remaining = this->OwnersFor(query->request.key);
    this->AskNext(query);
  });
}

std::vector<PeerAddress>
KeyOwnerQuery::OwnersFor(std::uint64_t aKey)
{
  std::vector<PeerAddress> others = this->owners.OtherOwnersOf(aKey);
  // The next owner to ask stands at the back
  std::reverse(others.begin(), others.end());
  const TimePoint now = this->clock.Now();
  const auto isUnresponsive = [&](const PeerAddress& aOwner) {
    const auto found = this->lastFailureAt.find(aOwner.key);
    return found != this->lastFailureAt.end() &&
           now - found->second < this->settings.deprioritizedFor;
  };
  std::stable_partition(others.begin(), others.end(), isUnresponsive);
  return others;
}

void
KeyOwnerQuery::AskNext(const QueryPtr& aQuery)
{
  if (aQuery->remaining.empty()) {
    Complete(aQuery);
    return;
  }
  const PeerAddress owner = aQuery->remaining.back();
  aQuery->remaining.pop_back();
  const std::uint64_t askedCount = ++aQuery->askedCount;
  this->membership.Transport().Request(
    owner, this->type, aQuery->request.message, this->settings.timeout,
    [this, aQuery, askedCount, key = owner.key](const Result<std::string>& aResponse) {
      this->HandleResponse(aQuery, askedCount, key, aResponse);
    });
  this->membership.Loop().After(this->settings.fallbackDelay, [this, aQuery, askedCount, owner] {
    if (aQuery->isPending && aQuery->askedCount == askedCount) {
      this->SetUnresponsive(owner.key, true);
      this->AskNext(aQuery);
    }
  });
}

void
KeyOwnerQuery::HandleResponse(const QueryPtr& aQuery, std::uint64_t aAskedCount, PeerKey aOwner,
                              const Result<std::string>& aResponse)
{
  const bool isLate = aQuery->askedCount != aAskedCount || !aQuery->isPending;
  const KeyOwnerResponseStatus status = aResponse
                                          ? aQuery->request.onResponse(aResponse.value(), isLate)
                                          : KeyOwnerResponseStatus::Malformed;
  this->SetUnresponsive(aOwner, status == KeyOwnerResponseStatus::Malformed);
  if (status == KeyOwnerResponseStatus::Completed) {
    Complete(aQuery);
  } else if (!isLate) {
    this->AskNext(aQuery);
  }
}

void
KeyOwnerQuery::SetUnresponsive(PeerKey aOwner, bool aIsUnresponsive)
{
  if (aIsUnresponsive) {
    this->lastFailureAt[aOwner] = this->clock.Now();
  } else {
    this->lastFailureAt.erase(aOwner);
  }
}

void
KeyOwnerQuery::Complete(const QueryPtr& aQuery)
{
  if (std::exchange(aQuery->isPending, false)) {
    aQuery->request.onCompleted();
  }
}

} // namespace lagoonward
