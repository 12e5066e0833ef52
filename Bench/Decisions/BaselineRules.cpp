#include "Bench/Decisions/BaselinePolicy.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>

namespace lagoonward::bench {

namespace {

/// Index of the block whose hash identifies a prompt's prefix. The router uses the same.
constexpr std::size_t kPrefixBlock = 31;

std::uint64_t
PrefixHash(const WorkItem& aItem)
{
  return aItem.blocks[std::min(aItem.blocks.size() - 1, kPrefixBlock)];
}

} // namespace

std::uint32_t
RandomRule::Pick(const BaselineState& aState, const WorkItem& /*aItem*/, Random& aRandom)
{
  return aState.hosts[aRandom.Next() % aState.hosts.size()];
}

std::uint32_t
RoundRobinRule::Pick(const BaselineState& aState, const WorkItem& /*aItem*/, Random& /*aRandom*/)
{
  return aState.hosts[this->next++ % aState.hosts.size()];
}

std::uint32_t
LeastOutstandingRule::Pick(const BaselineState& aState, const WorkItem& /*aItem*/, Random& aRandom)
{
  // The search starts at a random host, so that ties are broken at random
  const std::size_t start = aRandom.Next() % aState.hosts.size();
  std::uint32_t best = aState.hosts[start];
  for (std::size_t step = 1; step < aState.hosts.size(); ++step) {
    const std::uint32_t host = aState.hosts[(start + step) % aState.hosts.size()];
    if (aState.outstanding[host] < aState.outstanding[best]) {
      best = host;
    }
  }
  return best;
}

std::uint32_t
PrefixHashRule::Pick(const BaselineState& aState, const WorkItem& aItem, Random& aRandom)
{
  if (aItem.blocks.empty()) {
    return RandomRule().Pick(aState, aItem, aRandom);
  }
  const std::uint64_t prefix = PrefixHash(aItem);
  return *std::max_element(aState.hosts.begin(), aState.hosts.end(),
                           [&](std::uint32_t aLeft, std::uint32_t aRight) {
                             return RendezvousWeight(prefix, aState.hostKeys[aLeft]) <
                                    RendezvousWeight(prefix, aState.hostKeys[aRight]);
                           });
}

std::uint32_t
TwoLevelHashRule::Count(std::uint64_t aPrefix)
{
  std::uint32_t least = ~0U;
  for (std::size_t row = 0; row < kRows; ++row) {
    const std::size_t column = CombineHashes(aPrefix, row) % kColumns;
    least = std::min(least, ++this->sketch[row * kColumns + column]);
  }
  return least;
}

std::uint32_t
TwoLevelHashRule::Pick(const BaselineState& aState, const WorkItem& aItem, Random& aRandom)
{
  if (aItem.blocks.empty()) {
    return RandomRule().Pick(aState, aItem, aRandom);
  }

  // The first level selects the homes, the second level one of them
  const std::uint64_t prefix = PrefixHash(aItem);
  const std::size_t homes =
    std::min<std::size_t>(1 + this->Count(prefix) / kRequestsPerHome, aState.hosts.size());
  std::vector<std::uint32_t> ranked(aState.hosts.begin(), aState.hosts.end());
  std::sort(ranked.begin(), ranked.end(), [&](std::uint32_t aLeft, std::uint32_t aRight) {
    return RendezvousWeight(prefix, aState.hostKeys[aLeft]) >
           RendezvousWeight(prefix, aState.hostKeys[aRight]);
  });
  const BaselineState homeState{ std::span(ranked).first(homes), aState.outstanding,
                                 aState.hostKeys };
  return LeastOutstandingRule().Pick(homeState, aItem, aRandom);
}

} // namespace lagoonward::bench
