#include "Lagoonward/Daemon/KeeperQuery.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

KeeperQuery::KeeperQuery(const KeeperQuerySettings& aSettings, RequestType aType,
                         KeeperDirectory& aKeepers, MembershipService& aMembership,
                         const Clock& aClock)
  : settings(aSettings)
  , type(aType)
  , keepers(aKeepers)
  , membership(aMembership)
  , clock(aClock)
{
}

void
KeeperQuery::Ask(KeeperQuestion aQuestion)
{
  auto inquiry = std::make_shared<Inquiry>();
  inquiry->question = std::move(aQuestion);
  this->membership.Loop().Post([this, inquiry] {
    inquiry->left = this->KeepersFor(inquiry->question.key);
    this->AskNext(inquiry);
  });
}

std::vector<PeerAddress>
KeeperQuery::KeepersFor(std::uint64_t aKey)
{
  std::vector<PeerAddress> others = this->keepers.OthersFor(aKey);
  // They are asked from the back
  std::reverse(others.begin(), others.end());
  const TimePoint now = this->clock.Now();
  const auto isSilent = [&](const PeerAddress& aKeeper) {
    const auto found = this->silentAt.find(aKeeper.key);
    return found != this->silentAt.end() && now - found->second < this->settings.distrust;
  };
  std::stable_partition(others.begin(), others.end(), isSilent);
  return others;
}

void
KeeperQuery::AskNext(const InquiryPtr& aInquiry)
{
  if (aInquiry->left.empty()) {
    End(aInquiry);
    return;
  }
  const PeerAddress keeper = aInquiry->left.back();
  aInquiry->left.pop_back();
  const std::uint64_t asked = ++aInquiry->asked;
  this->membership.Transport().Request(
    keeper, this->type, aInquiry->question.message, this->settings.timeout,
    [this, aInquiry, asked, key = keeper.key](const Result<std::string>& aAnswer) {
      this->OnAnswer(aInquiry, asked, key, aAnswer);
    });
  this->membership.Loop().After(this->settings.patience, [this, aInquiry, asked, keeper] {
    if (aInquiry->isOpen && aInquiry->asked == asked) {
      this->NoteSilence(keeper.key, true);
      this->AskNext(aInquiry);
    }
  });
}

void
KeeperQuery::OnAnswer(const InquiryPtr& aInquiry, std::uint64_t aAsked, PeerKey aKeeper,
                      const Result<std::string>& aAnswer)
{
  const bool isLate = aInquiry->asked != aAsked || !aInquiry->isOpen;
  const KeeperAnswer taken =
    aAnswer ? aInquiry->question.take(aAnswer.value(), isLate) : KeeperAnswer::Malformed;
  this->NoteSilence(aKeeper, taken == KeeperAnswer::Malformed);
  if (taken == KeeperAnswer::Settled) {
    End(aInquiry);
  } else if (!isLate) {
    this->AskNext(aInquiry);
  }
}

void
KeeperQuery::NoteSilence(PeerKey aKeeper, bool aIsSilent)
{
  if (aIsSilent) {
    this->silentAt[aKeeper] = this->clock.Now();
  } else {
    this->silentAt.erase(aKeeper);
  }
}

void
KeeperQuery::End(const InquiryPtr& aInquiry)
{
  if (std::exchange(aInquiry->isOpen, false)) {
    aInquiry->question.end();
  }
}

} // namespace lagoonward
