#include "Lagoonward/Membership/RegionGraph.h"

#include <algorithm>

namespace lagoonward {

RegionGraph::RegionGraph(PeerKey aSelf)
  : self(aSelf)
  , keys{ aSelf }
{
}

void
RegionGraph::Rebuild(const PeerEntries& aEntries)
{
  this->keys.assign(1, this->self);
  for (const auto& [key, entry] : aEntries) {
    if (entry.regional && entry.IsPresent()) {
      this->keys.push_back(key);
    }
  }
  std::sort(this->keys.begin(), this->keys.end());
}

std::vector<PeerKey>
RegionGraph::Successors(std::size_t aFanout) const
{
  const std::size_t count = this->keys.size();
  const auto own = std::lower_bound(this->keys.begin(), this->keys.end(), this->self);
  const auto position = static_cast<std::size_t>(own - this->keys.begin());
  std::vector<PeerKey> successors;
  const auto add = [&](std::size_t aPosition) {
    const PeerKey key = this->keys[aPosition % count];
    const bool isAdded = std::find(successors.begin(), successors.end(), key) != successors.end();
    if (key != this->self && !isAdded) {
      successors.push_back(key);
    }
  };
  for (std::size_t index = 0; index < aFanout; ++index) {
    add(aFanout * position + index);
  }
  // Arcs that lead to this daemon or to one already added are replaced by the next daemons in key order
  for (std::size_t step = 1; successors.size() < aFanout && step < count; ++step) {
    add(position + step);
  }
  return successors;
}

bool
RegionGraph::IsMonitorOf(PeerKey aSubject, std::size_t aCount) const
{
  const auto own = RendezvousWeight(aSubject, this->self);
  std::size_t higherRanked = 0;
  for (const PeerKey key : this->keys) {
    if (key != aSubject && key != this->self && RendezvousWeight(aSubject, key) > own) {
      ++higherRanked;
    }
  }
  return higherRanked < aCount;
}

const std::vector<PeerKey>&
RegionGraph::Keys() const
{
  return this->keys;
}

} // namespace lagoonward
