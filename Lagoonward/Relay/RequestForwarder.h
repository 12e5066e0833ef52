#pragma once

#include "Lagoonward/Relay/RelayCall.h"
#include "Lagoonward/Relay/RelayRun.h"
#include "Lagoonward/Relay/RelaySettings.h"
#include "Lagoonward/Relay/ReplyDeliveries.h"
#include "Lagoonward/Wire/HttpExchange.h"
#include "Lagoonward/Wire/ResponseMemory.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Header of a request that another daemon forwarded: its token (ForwardTarget) and the time in milliseconds since that
/// daemon received it, separated by a space. Never passed to endpoints.
inline constexpr std::string_view kForwardedHeader = "Lagoonward-Forwarded";

/// A daemon that accepts forwarded requests.
struct ForwardTarget
{
  std::string address; ///< `IP:PORT` of its listener for them.
  std::string token;   ///< Shows that a request comes from a daemon, which it gave the token to.
};

/// A request to be forwarded.
struct ForwardRequest
{
  HttpRequest request; ///< As the caller sent it.
  std::string id;      ///< For logs.
  RelayRoutePtr route;
  TimePoint receivedAt;
  TimePoint deadline;                 ///< Latest time of a complete response.
  std::vector<ForwardTarget> targets; ///< In the order in which they are tried.
};

/// Forwards requests unchanged to another daemon, and its responses to the callers. The other daemon treats them as its
/// own callers' requests: it admits them, selects the endpoints, and counts attempts, limits and usage, so all of these
/// are counted once. A request is sent to a second daemon only if the first provably did not receive it. Used on one
/// TrafficLoop.
class RequestForwarder
{
public:
  /// References must outlive it.
  RequestForwarder(TrafficLoop& aLoop, const RelaySettings& aSettings,
                   ResponseMemory& aResponseMemory, ReplyDeliveries& aDeliveries);
  ~RequestForwarder();
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  void Forward(ForwardRequest aRequest, std::unique_ptr<RelayCaller> aCaller);

  /// Cancels what callers no longer wait for. Must be called every RelaySettings::forwardCheckInterval.
  void CheckCallers();

  /// Fails all requests, for the shutdown of the daemon.
  void AbandonAll();

private:
  class Run;

  void OnEnded(std::uint64_t aRun);

  TrafficLoop& loop;
  const RelaySettings& settings;
  ResponseMemory& responseMemory;
  ReplyDeliveries& deliveries;
  std::unordered_map<std::uint64_t, std::unique_ptr<Run>> runs;
  std::uint64_t nextRun = 1;
};

} // namespace lagoonward
