#pragma once

#include "Bench/Decisions/Policy.h"
#include "Bench/Decisions/Tuning.h"

#include <array>
#include <vector>

namespace lagoonward::bench {

/// Input of the selection rule of a baseline.
struct BaselineState
{
  std::span<const std::uint32_t> hosts;    ///< Live hosts for the request, in a fixed order.
  std::span<const int> outstanding;        ///< By host: outstanding requests of this daemon.
  std::span<const std::uint64_t> hostKeys; ///< By host: hash of its id.
};

/// Selects a host uniformly at random.
struct RandomRule
{
  [[nodiscard]] std::uint32_t Pick(const BaselineState& aState, const WorkItem& aItem,
                                   Random& aRandom);
};

/// Selects hosts in turn, separately for each daemon.
struct RoundRobinRule
{
  std::size_t next = 0;
  [[nodiscard]] std::uint32_t Pick(const BaselineState& aState, const WorkItem& aItem,
                                   Random& aRandom);
};

/// Selects the host with the fewest outstanding requests of this daemon; ties are broken at random.
struct LeastOutstandingRule
{
  [[nodiscard]] std::uint32_t Pick(const BaselineState& aState, const WorkItem& aItem,
                                   Random& aRandom);
};

/// Selects a host by rendezvous hashing of the prompt's prefix.
struct PrefixHashRule
{
  [[nodiscard]] std::uint32_t Pick(const BaselineState& aState, const WorkItem& aItem,
                                   Random& aRandom);
};

/// Two-level hashing after Gabert et al., ElGA (SC '21). A count-min sketch estimates the number of requests for a
/// prefix, which determines how many home hosts the prefix gets by rendezvous hashing. The second level selects one
/// of the homes, here the one with the fewest outstanding requests.
struct TwoLevelHashRule
{
  static constexpr std::size_t kRows = 4;
  static constexpr std::size_t kColumns = 1024;
  /// Requests for a prefix per additional home. 3 performed better than 12 on seeds 1 to 5.
  static constexpr std::uint32_t kRequestsPerHome = 3;
  std::array<std::uint32_t, kRows * kColumns> sketch{};

  [[nodiscard]] std::uint32_t Count(std::uint64_t aPrefix);
  [[nodiscard]] std::uint32_t Pick(const BaselineState& aState, const WorkItem& aItem,
                                   Random& aRandom);
};

/// A well-configured proxy: it stops using hosts that the host list shows as leaving, passes the priority of the
/// class to the engine, and retries a failed request from scratch, with up to three attempts.
template<typename Rule>
class BaselinePolicy
{
public:
  static constexpr bool kResumes = false;
  static constexpr double kNoticeDelay = 3; ///< Seconds until the host list shows a reclaim notice.
  static constexpr double kStallTimeout = 10; ///< Idle timeout of a connection in seconds.
  static constexpr int kAttempts = 3;

  BaselinePolicy(const Deployment& aDeployment, const Tuning& /*aTuning*/, const Clock& /*aClock*/,
                 std::uint64_t aSeed, std::size_t aRequests)
    : random(aSeed)
    , rules(static_cast<std::size_t>(aDeployment.daemons))
    , outstanding(static_cast<std::size_t>(aDeployment.daemons))
    , placed(aRequests)
    , model(aDeployment.manifest.models.front().name)
  {
    for (const ManifestClass& each : aDeployment.manifest.classes) {
      this->priorities.push_back(each.priority);
    }
  }

  void OnView(const FleetView& aView)
  {
    this->view = aView;
    for (std::size_t target = 0; target < aView.hostOfTarget.size(); ++target) {
      const std::uint32_t host = aView.hostOfTarget[target];
      if (host >= this->hostKeys.size()) {
        this->hostKeys.resize(host + 1);
      }
      this->hostKeys[host] = aView.table->Targets()[target].key;
    }
    for (auto& each : this->outstanding) {
      each.resize(this->hostKeys.size());
    }
  }

  [[nodiscard]] Result<void> Admit(const PlacementRequest& /*aPlacementRequest*/)
  {
    return boost::outcome_v2::success();
  }

  [[nodiscard]] Result<Placement> Place(const PlacementRequest& aPlacementRequest)
  {
    const WorkItem& item = *aPlacementRequest.item;
    RouteRequest request;
    request.service = item.service;
    request.model = item.service.empty() ? std::string_view(this->model) : std::string_view();
    const auto group = this->view.table->FindGroup(request);
    if (!group) {
      return group.error();
    }
    std::vector<std::uint32_t> hosts;
    for (const std::uint32_t target : group.value()->targets) {
      const std::uint32_t host = this->view.hostOfTarget[target];
      if (host != aPlacementRequest.failedHost) {
        hosts.push_back(host);
      }
    }
    if (hosts.empty()) {
      return Error(ErrorKind::NoEndpoint,
                   "no live host for the request (the host of a failed attempt is excluded)");
    }
    std::sort(hosts.begin(), hosts.end());
    auto& counts = this->outstanding[item.daemon];
    const std::uint32_t host =
      this->rules[item.daemon].Pick({ hosts, counts, this->hostKeys }, item, this->random);
    counts[host]++;
    this->placed[aPlacementRequest.request] = { item.daemon, host };
    return Placement{ host, this->priorities[item.classIndex] };
  }

  void OnToken(std::uint32_t /*aRequest*/) {}

  void OnEnd(std::uint32_t aRequest, AttemptResult /*aEnd*/, bool /*aDone*/)
  {
    const Placed& entry = this->placed[aRequest];
    this->outstanding[entry.daemon][entry.host]--;
  }

  [[nodiscard]] bool MayRetry(const PlacementRequest& aPlacementRequest)
  {
    return aPlacementRequest.attempt < kAttempts;
  }

  void OnCacheEvents(std::string_view /*aEndpoint*/, std::span<const std::uint64_t> /*aStored*/,
                     std::span<const std::uint64_t> /*aEvicted*/, bool /*aGap*/)
  {
  }

  void OnCompleted(std::uint32_t /*aRequest*/, bool /*aMet*/) {}

  void OnHeartbeat() {}

private:
  struct Placed
  {
    std::size_t daemon = 0;
    std::uint32_t host = 0;
  };

  Random random;
  std::vector<Rule> rules;                   ///< By daemon.
  std::vector<std::vector<int>> outstanding; ///< By daemon, then by host.
  std::vector<Placed> placed;                ///< Current attempt, by request.
  std::vector<std::uint64_t> hostKeys;
  std::string model;
  std::vector<int> priorities; ///< By class.
  FleetView view;
};

} // namespace lagoonward::bench
