#pragma once

#include "Bench/Decisions/Workload.h"
#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Routing/RoutingTable.h"

#include <concepts>
#include <cstdint>
#include <span>

namespace lagoonward::bench {

/// The delayed view of the fleet that all daemons share.
struct FleetView
{
  RoutingTablePtr table;
  std::vector<std::uint32_t> hostOfTarget; ///< Index into World::hosts, by target of the table.
};

/// Request to a policy to admit or place one attempt.
struct PlacementRequest
{
  std::uint32_t request = 0;
  const WorkItem* item = nullptr;
  int relayedTokens = 0; ///< Tokens that the caller has already received.
  int attempt = 0;       ///< 0 for the first.
  /// Host of the previous attempt, excluded from placement; -1 for none.
  std::int64_t failedHost = -1;
  bool imported = false; ///< The KV cache is transferred; no prefill is needed.
  TimePoint deadline;
};

/// Host and priority that a policy has chosen for an attempt.
struct Placement
{
  std::uint32_t host = 0;
  int priority = 0; ///< Passed to the engine.
};

/// Outcome of an attempt, reported to the policy that placed it.
enum class AttemptResult
{
  Completed,
  Failed,
  Moved,
};

/// The decisions of all daemons of one run: admission, placement and retries.
/// kResumes: a new attempt continues after the relayed tokens; otherwise it starts from scratch, as proxies do.
/// kNoticeDelay: seconds from a reclaim notice until the daemons see it.
/// kStallTimeout: seconds without a token before a connection is treated as stalled.
template<typename Type>
concept RoutePolicy = requires(Type aPolicy, const FleetView& aView,
                               const PlacementRequest& aPlacementRequest, std::uint32_t aRequest,
                               std::span<const std::uint64_t> aBlocks)
{
  {
    Type::kResumes
    } -> std::convertible_to<bool>;
  {
    Type::kNoticeDelay
    } -> std::convertible_to<double>;
  {
    Type::kStallTimeout
    } -> std::convertible_to<double>;
  aPolicy.OnView(aView);
  {
    aPolicy.Admit(aPlacementRequest)
    } -> std::same_as<Result<void>>;
  {
    aPolicy.Place(aPlacementRequest)
    } -> std::same_as<Result<Placement>>;
  aPolicy.OnToken(aRequest);
  aPolicy.OnEnd(aRequest, AttemptResult::Completed, true);
  aPolicy.OnCompleted(aRequest, true);
  {
    aPolicy.MayRetry(aPlacementRequest)
    } -> std::same_as<bool>;
  aPolicy.OnCacheEvents(std::string_view(), aBlocks, aBlocks, false);
  aPolicy.OnHeartbeat();
};

} // namespace lagoonward::bench
