#pragma once

#include "Bench/Decisions/Workload.h"
#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Routing/RoutingTable.h"

#include <concepts>
#include <cstdint>
#include <span>

namespace lagoonward::bench {

/// What a policy is told of the fleet: the daemons' common, lagging view.
struct FleetView
{
  RoutingTablePtr table;
  std::vector<std::uint32_t> hostOfTarget; ///< The run's host for each of the table's targets.
};

/// One attempt that a policy is asked to place.
struct Ask
{
  std::uint32_t request = 0;
  const WorkItem* item = nullptr;
  int relayedTokens = 0;        ///< Tokens the caller already has.
  int attempt = 0;              ///< 0 the first.
  std::int64_t failedHost = -1; ///< Where the last attempt failed.
  bool imported = false;        ///< The KV cache comes along: nothing has to be read.
  TimePoint deadline;
};

/// Where an attempt goes.
struct Placement
{
  std::uint32_t host = 0;
  int priority = 0; ///< Sent to the engine.
};

/// How an attempt ended, for the policy that placed it.
enum class AttemptEnd
{
  Completed,
  Failed,
  Moved,
};

/// What stands behind the daemons of one run: where requests go and what is done when an attempt fails. kResumes: a
/// new attempt goes on behind the relayed tokens; otherwise it starts from scratch, as proxies do.
template<typename Type>
concept RoutePolicy = requires(Type aPolicy, const FleetView& aView, const Ask& aAsk,
                               std::uint32_t aRequest, std::span<const std::uint64_t> aBlocks)
{
  {
    Type::kResumes
    } -> std::convertible_to<bool>;
  {
    Type::kNoticeDelay
    } -> std::convertible_to<double>;
  {
    Type::kSilenceBudget
    } -> std::convertible_to<double>;
  aPolicy.OnView(aView);
  {
    aPolicy.Admit(aAsk)
    } -> std::same_as<Result<void>>;
  {
    aPolicy.Place(aAsk)
    } -> std::same_as<Result<Placement>>;
  aPolicy.OnToken(aRequest);
  aPolicy.OnEnd(aRequest, AttemptEnd::Completed, true);
  aPolicy.OnAnswered(aRequest, true);
  {
    aPolicy.MayRetry(aAsk)
    } -> std::same_as<bool>;
  aPolicy.OnCacheEvents(std::string_view(), aBlocks, aBlocks, false);
  aPolicy.OnHeartbeat();
};

} // namespace lagoonward::bench
