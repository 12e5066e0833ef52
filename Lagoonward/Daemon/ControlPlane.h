#pragma once

#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Configuration/ConfigurationFollower.h"
#include "Lagoonward/Core/Service.h"
#include "Lagoonward/Fleet/FleetStore.h"
#include "Lagoonward/Membership/MembershipService.h"
#include "Lagoonward/Providers/LoadPoller.h"

#include <functional>
#include <string>
#include <vector>

namespace lagoonward {

/// Maintains the daemon's state of the fleet and of the configuration on the control thread: applies updates from the
/// platform, the log and the other daemons, and publishes immutable snapshots to the traffic threads. The control
/// thread is that of the MembershipService.
class ControlPlane final : public Service
{
public:
  static constexpr std::string_view kName = "control";

  /// Registers its handlers with the membership, so it must be constructed before that starts.
  /// @param aOnFleet  called on the control thread with each new snapshot
  ControlPlane(const Clock& aClock, MembershipService& aMembership, LoadPoller& aPoller,
               MarketDirectory& aMarkets, FleetStore& aFleet,
               std::function<void(const FleetSnapshotPtr& aSnapshot)> aOnFleet);

  [[nodiscard]] std::string_view Name() const override;
  [[nodiscard]] Result<void> Start() override;
  void Stop() override;

  /// Sets the follower that adopts configurations from peers. To be called once, before Start().
  void SetFollower(ConfigurationFollower& aFollower);

  // Updates, from any thread

  void OnHosts(std::vector<HostEntry> aHosts);
  void OnPrices(std::vector<Price> aPrices);
  void OnNotices(const std::vector<ReclaimNotice>& aNotices);
  void OnConfiguration(const ConfigurationPtr& aConfiguration);

  /// Starts to follow a market that a caller or a peer has named. Any thread.
  void FollowMarket(const std::string& aMarket);

private:
  [[nodiscard]] bool ApplyState(const SharedState& aState);
  void ApplyNotice(const ReclaimNotice& aNotice);
  void MarkEmptyMarkets();
  void PublishFleet();
  [[nodiscard]] Endpoint ToEndpoint(const EndpointFact& aFact) const;
  void SetPrice(Endpoint& aEndpoint) const;

  const Clock& clock;
  MembershipService& membership;
  LoadPoller& poller;
  MarketDirectory& markets;
  FleetStore& fleet;
  std::function<void(const FleetSnapshotPtr&)> onFleet;
  ConfigurationFollower* follower = nullptr;

  // Control thread only
  std::vector<Price> prices;
  std::uint64_t generation = 0;
};

} // namespace lagoonward
