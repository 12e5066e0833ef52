#pragma once

#include "Bench/Decisions/Policy.h"
#include "Bench/Decisions/Tuning.h"
#include "Lagoonward/Admission/Admission.h"
#include "Lagoonward/Admission/RetryBudget.h"
#include "Lagoonward/Routing/Router.h"

#include <memory>
#include <optional>
#include <vector>

namespace lagoonward::bench {

/// Policy that runs the production decision modules: a Router, an Admission and a RetryBudget for each daemon.
class LagoonwardPolicy
{
public:
  static constexpr bool kResumes = true;
  /// Seconds from a reclaim notice until every daemon has received it.
  static constexpr double kNoticeDelay = 0.5;
  /// Seconds without a token before the daemon reconnects.
  static constexpr double kStallTimeout = 2;

  LagoonwardPolicy(const Deployment& aDeployment, const Tuning& aTuning, const Clock& aClock,
                   std::uint64_t aSeed, std::size_t aRequests);

  void OnView(const FleetView& aView);
  [[nodiscard]] Result<void> Admit(const PlacementRequest& aPlacementRequest);
  [[nodiscard]] Result<Placement> Place(const PlacementRequest& aPlacementRequest);
  void OnToken(std::uint32_t aRequest);

  /// @param aDone  whether the request has ended, not only the attempt
  void OnEnd(std::uint32_t aRequest, AttemptResult aEnd, bool aDone);

  /// The request has completed successfully. Called before its OnEnd().
  /// @param aMet  whether its targets were met
  void OnCompleted(std::uint32_t aRequest, bool aMet);
  [[nodiscard]] bool MayRetry(const PlacementRequest& aPlacementRequest);
  void OnCacheEvents(std::string_view aEndpoint, std::span<const std::uint64_t> aStored,
                     std::span<const std::uint64_t> aEvicted, bool aGap);

  /// Exchanges the demand of the daemons, which their heartbeats carry.
  void OnHeartbeat();

private:
  struct Daemon
  {
    std::unique_ptr<Router> router;
    std::unique_ptr<Admission> admission;
    std::unique_ptr<RetryBudget> retries;
  };

  /// State of a running request in its daemon.
  struct Running
  {
    std::size_t daemon = 0;
    Dispatch dispatch;
    std::optional<Ticket> ticket;
  };

  [[nodiscard]] RouteRequest ToRouteRequest(const PlacementRequest& aPlacementRequest) const;

  const Deployment& deployment;
  ManifestObjective objective;

  std::vector<Daemon> daemons;
  /// By request. Declared after `daemons`, because the tickets refer to their admissions.
  std::vector<Running> running;
  FleetView view;
};

} // namespace lagoonward::bench
