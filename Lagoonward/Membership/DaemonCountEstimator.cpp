#include "Lagoonward/Membership/DaemonCountEstimator.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

DaemonCountEstimator::DaemonCountEstimator(const DaemonCountSettings& aSettings,
                                           TimePoint aStartedAt)
  : settings(aSettings)
  , startedAt(aStartedAt)
{
}

void
DaemonCountEstimator::OnList(int aDaemons)
{
  this->listed = aDaemons;
}

void
DaemonCountEstimator::OnPeers(const PeerView& aView, TimePoint aNow)
{
  std::set<PeerKey> next;
  this->unidentified = 0;
  for (const Peer& peer : aView.peers) {
    if (peer.info.failureDomain.empty()) {
      ++this->unidentified;
      continue;
    }
    next.insert(peer.key);
    this->departed.erase(peer.key);
  }
  for (const PeerKey key : this->present) {
    if (!next.contains(key)) {
      this->departed.emplace(key, aNow);
    }
  }
  this->present = std::move(next);
}

std::optional<int>
DaemonCountEstimator::Count(TimePoint aNow)
{
  std::erase_if(this->departed, [&](const auto& aEach) {
    return aNow - aEach.second > this->settings.departedRetention;
  });
  const std::size_t known = this->present.size() + this->unidentified + this->departed.size() + 1;
  const auto age = aNow - this->startedAt;
  if (this->listed == 0 && age < this->settings.listTimeout) {
    return std::nullopt;
  }
  const int listedNow = age < this->settings.listValidity ? this->listed : 0;
  return std::max(static_cast<int>(known), listedNow);
}

} // namespace lagoonward
