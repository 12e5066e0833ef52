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

/// The decision modules themselves: for each daemon a router, an admission and a retry budget.
class LagoonwardPolicy
{
public:
  static constexpr bool kResumes = true;
  static constexpr double kNoticeDelay = 0.5; ///< Seconds from a notice until every daemon knows.
  static constexpr double kSilenceBudget = 2; ///< Seconds without a token before a new connection.

  LagoonwardPolicy(const Deployment& aDeployment, const Tuning& aTuning, const Clock& aClock,
                   std::uint64_t aSeed, std::size_t aRequests);

  void OnView(const FleetView& aView);
  [[nodiscard]] Result<void> Admit(const Ask& aAsk);
  [[nodiscard]] Result<Placement> Place(const Ask& aAsk);
  void OnToken(std::uint32_t aRequest);

  /// @param aDone  whether the request is over, not just the attempt
  void OnEnd(std::uint32_t aRequest, AttemptEnd aEnd, bool aDone);

  /// The request was answered whole, with or without its targets met. Comes before its OnEnd().
  void OnAnswered(std::uint32_t aRequest, bool aMet);
  [[nodiscard]] bool MayRetry(const Ask& aAsk);
  void OnCacheEvents(std::string_view aEndpoint, std::span<const std::uint64_t> aStored,
                     std::span<const std::uint64_t> aEvicted, bool aGap);

  /// The daemons exchange their heartbeats.
  void OnHeartbeat();

private:
  struct Daemon
  {
    std::unique_ptr<Router> router;
    std::unique_ptr<Admission> admission;
    std::unique_ptr<RetryBudget> retries;
  };

  /// What a daemon keeps of a running request.
  struct Running
  {
    std::size_t daemon = 0;
    Dispatch dispatch;
    std::optional<Ticket> ticket;
  };

  [[nodiscard]] RouteRequest ToRouteRequest(const Ask& aAsk) const;

  const Deployment& deployment;
  ManifestObjective objective;

  std::vector<Daemon> daemons;
  std::vector<Running> running; ///< By request. After `daemons`, whose admissions the tickets use.
  FleetView view;
};

} // namespace lagoonward::bench
