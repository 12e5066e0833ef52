#include "Lagoonward/Membership/DisseminationQueue.h"

namespace lagoonward {

namespace {

/// Maximum total length of a daemon's strings, so that they fit into a datagram.
constexpr std::size_t kMaximumInfoBytes = 240;
constexpr std::size_t kChangeBytes = 18;
constexpr std::size_t kInfoOverhead = 6;

std::size_t
InfoBytes(const PeerInfo& aInfo)
{
  return aInfo.id.size() + aInfo.address.size() + aInfo.failureDomain.size() + aInfo.region.size();
}

} // namespace

void
DisseminationQueue::Add(PeerKey aKey)
{
  std::erase_if(this->items, [&](const Item& aItem) { return aItem.key == aKey; });
  this->items.push_front({ aKey, 0 });
}

void
DisseminationQueue::SelectForDatagram(std::size_t aBytes, std::size_t aMaximumSends,
                                      const ChangeLookup& aLookup, std::vector<PeerChange>& aTarget)
{
  std::size_t used = 0;
  for (std::size_t remaining = this->items.size(); remaining > 0; --remaining) {
    Item item = this->items.front();
    auto change = aLookup(item.key);
    if (!change) {
      this->items.pop_front();
      continue;
    }
    const std::size_t bytes = WireBytes(*change);
    if (used + bytes > aBytes) {
      return;
    }
    used += bytes;
    aTarget.push_back(std::move(*change));

    // Moved to the back of the queue, so that all changes are sent equally often
    this->items.pop_front();
    if (++item.sendCount < aMaximumSends) {
      this->items.push_back(item);
    }
  }
}

std::size_t
DisseminationQueue::WireBytes(const PeerChange& aChange)
{
  return kChangeBytes + (aChange.info ? kInfoOverhead + InfoBytes(*aChange.info) : 0);
}

bool
DisseminationQueue::FitsInDatagram(const PeerInfo& aInfo)
{
  return InfoBytes(aInfo) <= kMaximumInfoBytes;
}

} // namespace lagoonward
