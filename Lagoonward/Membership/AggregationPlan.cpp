#include "Lagoonward/Membership/AggregationPlan.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>
#include <bit>
#include <map>

namespace lagoonward {

namespace {

/// A daemon included in the plan.
struct Participant
{
  /// Rendezvous weight for the region: a removed daemon does not change the order of the others.
  std::uint64_t weight = 0;
  std::uint64_t group = 0;
  bool mayAggregate = true;
  PeerAddress address;
};

bool
ContainsKey(const std::vector<PeerAddress>& aDaemons, PeerKey aKey)
{
  return std::any_of(aDaemons.begin(), aDaemons.end(),
                     [&](const PeerAddress& aEach) { return aEach.key == aKey; });
}

/// The daemons included in the plan, this one first.
std::vector<Participant>
CollectParticipants(const PeerInfo& aSelf, bool aEligible, const PeerView& aView,
                    std::vector<std::uint64_t>& aDomains)
{
  const std::uint64_t region = HashBytes(aSelf.region);
  std::vector<Participant> all;
  const auto add = [&](const PeerInfo& aInfo, PeerKey aKey, bool aMayAggregate) {
    all.push_back(
      { RendezvousWeight(region, aKey), 0, aMayAggregate, { aKey, aInfo.address, aInfo.port } });
    aDomains.push_back(HashBytes(aInfo.failureDomain));
  };
  add(aSelf, aSelf.Key(), aEligible);
  for (const Peer& peer : aView.peers) {
    // A peer known only by its address, such as a seed, has no group yet
    const bool isKnown = !peer.info.failureDomain.empty();
    if (isKnown && peer.info.region == aSelf.region && peer.state == PeerState::Alive) {
      add(peer.info, peer.key, true);
    }
  }
  return all;
}

/// Groups daemons by failure domain. Large failure domains are split by the hash of the daemons' ids.
void
AssignGroups(std::vector<Participant>& aDaemons, const std::vector<std::uint64_t>& aDomains,
             std::size_t aMaximumGroupSize)
{
  std::map<std::uint64_t, std::size_t> sizes;
  for (const std::uint64_t domain : aDomains) {
    ++sizes[domain];
  }
  for (std::size_t index = 0; index < aDaemons.size(); ++index) {
    // Powers of two, so that half of the daemons keep their partition when a domain is split again
    const std::size_t needed = (sizes[aDomains[index]] + aMaximumGroupSize - 1) / aMaximumGroupSize;
    const std::uint64_t partitions = std::bit_ceil(needed);
    const std::uint64_t partition = aDaemons[index].address.key % partitions;
    aDaemons[index].group =
      CombineHashes(aDomains[index], partitions * aMaximumGroupSize + partition);
  }
}

} // namespace

bool
AggregationPlan::IsPrimaryAggregator(PeerKey aDaemon) const
{
  return !this->ownAggregators.empty() && this->ownAggregators.front().key == aDaemon;
}

bool
AggregationPlan::IsAggregator(PeerKey aDaemon) const
{
  return ContainsKey(this->ownAggregators, aDaemon);
}

int
AggregationPlan::RankOf(PeerKey aDaemon) const
{
  const auto found = std::find_if(this->allAggregators.begin(), this->allAggregators.end(),
                                  [&](const PeerAddress& aEach) { return aEach.key == aDaemon; });
  return static_cast<int>(found - this->allAggregators.begin());
}

AggregationPlan
MakeAggregationPlan(const PeerInfo& aSelf, bool aEligible, const PeerView& aView,
                    const AggregationSettings& aSettings)
{
  std::vector<std::uint64_t> domains;
  std::vector<Participant> daemons = CollectParticipants(aSelf, aEligible, aView, domains);
  AssignGroups(daemons, domains, aSettings.maximumGroupSize);
  AggregationPlan plan;
  plan.group = daemons.front().group;
  plan.daemonCount = static_cast<int>(daemons.size());
  std::sort(daemons.begin(), daemons.end(),
            [](const Participant& aLeft, const Participant& aRight) {
              return aLeft.weight > aRight.weight;
            });

  // The highest-ranked daemons of each group are its aggregators
  const bool isSingleGroup =
    std::all_of(daemons.begin(), daemons.end(),
                [&](const Participant& aEach) { return aEach.group == plan.group; });
  const std::size_t aggregatorsPerGroup =
    isSingleGroup ? aSettings.aggregatorsOfSingleGroup : aSettings.aggregators;
  std::map<std::uint64_t, std::size_t> selectedPerGroup;
  for (const Participant& each : daemons) {
    const bool isOwn = each.group == plan.group;
    if (isOwn && each.address.key != aSelf.Key()) {
      plan.groupMembers.push_back(each.address);
    }
    if (!each.mayAggregate || selectedPerGroup[each.group] >= aggregatorsPerGroup) {
      continue;
    }
    ++selectedPerGroup[each.group];
    plan.allAggregators.push_back(each.address);
    (isOwn ? plan.ownAggregators : plan.otherAggregators).push_back(each.address);
  }
  return plan;
}

} // namespace lagoonward
