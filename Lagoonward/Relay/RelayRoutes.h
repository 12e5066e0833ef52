#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/Result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// How many times a relayed request may run.
enum class RelayKind
{
  Idempotent,    ///< Any number of times.
  NonIdempotent, ///< At most once.
  Stream, ///< Responds with an event stream; runs at most once unless the route is resumable.
};

/// One of the services that share a route's traffic.
struct WeightedService
{
  std::string name;
  double weight = 1; ///< Share of traffic, relative to the sum of all weights.
};

/// Services and limits for the requests of one host name and path prefix.
struct RelayRoute
{
  std::string name; ///< For logs.
  std::string host;
  std::string prefix; ///< Begins and ends with a slash.
  RelayKind kind = RelayKind::Idempotent;
  bool resumable = false;    ///< Another endpoint may continue the stream after any event.
  bool anonymous = false;    ///< Requires no API key.
  int attempts = 1;          ///< Maximum number of endpoints to which one request is sent.
  int priority = 0;          ///< Higher values are served first.
  Milliseconds timeout{ 0 }; ///< From arrival to the complete response; zero means no timeout.
  /// Latency target for the response, or for the first event of a stream.
  Milliseconds firstEventTarget{ 0 };
  Milliseconds eventIntervalTarget{ 0 }; ///< Target for the interval between events of a stream.
  std::vector<WeightedService> services;

  /// Whether a request may be sent to another endpoint after it may already have run.
  [[nodiscard]] bool IsRepeatable() const
  {
    return this->kind == RelayKind::Idempotent ||
           (this->kind == RelayKind::Stream && this->resumable);
  }

  /// Selects the service for a request by weight. The same random number gives the same service.
  /// @param aRandom  uniformly distributed over the range of its type
  [[nodiscard]] const std::string& SelectService(std::uint64_t aRandom) const;
};

using RelayRoutePtr = std::shared_ptr<const RelayRoute>;

/// A client account of relayed requests.
struct RelayAccount
{
  std::string name;
  /// Overrides the priority of the route; higher values are served first.
  std::optional<int> priority;
  bool countsTokens = true; ///< The limit is in tokens; otherwise in requests.
  double tokensPerPlainRequest =
    1; ///< Tokens of the limit that a request without token counts consumes.
};

/// All routes and keys of one configuration version. Filled at creation and immutable once shared.
class RelayRoutes
{
public:
  /// @param aVersion  configuration version; higher is newer
  explicit RelayRoutes(std::int64_t aVersion);

  /// Of two routes with the same host and prefix the first counts.
  void AddRoute(RelayRoutePtr aRoute);
  void AddAccount(RelayAccount aAccount, const std::vector<std::string>& aKeys);

  [[nodiscard]] std::int64_t Version() const { return this->version; }

  /// Whether a route of the service states a timeout, so how long its callers may be kept waiting.
  [[nodiscard]] bool HasTimeout(std::string_view aService) const
  {
    return this->servicesWithTimeout.contains(aService);
  }

  /// The route of the host with the longest prefix of the path, or null.
  /// @param aPath  path as sent, without the query
  [[nodiscard]] RelayRoutePtr FindRoute(std::string_view aHost, std::string_view aPath) const;

  /// The account of a key, or null.
  [[nodiscard]] const RelayAccount* FindAccount(std::string_view aKey) const;

  /// Whether any accounts are configured, so that requests need a key.
  [[nodiscard]] bool HasAccounts() const { return !this->accounts.empty(); }

private:
  /// Routes of one host. A lookup takes one step for each length of a prefix, whatever the number of routes.
  struct HostRoutes
  {
    std::set<std::size_t, std::greater<>> prefixLengths;
    std::unordered_map<std::string_view, RelayRoutePtr> byPrefix; ///< Keys refer to the routes.
  };

  std::int64_t version;
  std::map<std::string, HostRoutes, std::less<>> routes; ///< By host.
  std::set<std::string, std::less<>> servicesWithTimeout;
  std::vector<RelayAccount> accounts;
  std::unordered_map<std::string, std::size_t> accountByKey; ///< Index into `accounts`.
};

using RelayRoutesPtr = std::shared_ptr<const RelayRoutes>;

} // namespace lagoonward
