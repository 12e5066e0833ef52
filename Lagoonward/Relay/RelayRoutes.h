#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/Result.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// How often a relayed request may run.
enum class RelayKind
{
  Idempotent,    ///< Any number of times.
  NonIdempotent, ///< At most once.
  Stream,        ///< Answers with events; at most once unless the route says that it is resumable.
};

/// One of the services that share a route's traffic.
struct WeightedService
{
  std::string name;
  double weight = 1; ///< Its part of the sum of all weights.
};

/// Where requests of one host name and path prefix go, and on what terms.
struct RelayRoute
{
  std::string name; ///< For logs.
  std::string host;
  std::string prefix; ///< Begins and ends with a slash.
  RelayKind kind = RelayKind::Idempotent;
  bool resumable = false;          ///< A stream that another endpoint may continue after an event.
  bool anonymous = false;          ///< Needs no key.
  int attempts = 1;                ///< Endpoints to which one request may be sent.
  int priority = 0;                ///< Higher goes first.
  Milliseconds timeout{ 0 };       ///< From arrival to the final answer; zero means none.
  Milliseconds firstEvent{ 0 };    ///< Target for the answer, or a stream's first event.
  Milliseconds betweenEvents{ 0 }; ///< Target for the pause between a stream's events.
  std::vector<WeightedService> services;

  /// Whether a request that may have run may be sent to another endpoint.
  [[nodiscard]] bool IsRepeatable() const
  {
    return this->kind == RelayKind::Idempotent ||
           (this->kind == RelayKind::Stream && this->resumable);
  }

  /// The service for a request; the same draw gives the same service.
  /// @param aDraw  any number, equally likely over its whole range
  [[nodiscard]] const std::string& ServiceFor(std::uint64_t aDraw) const;
};

using RelayRoutePtr = std::shared_ptr<const RelayRoute>;

/// A client account as relayed requests name it.
struct RelayAccount
{
  std::string name;
  std::optional<int> priority; ///< Goes before the route's; higher goes first.
  bool countsTokens = true;    ///< Its limit is in tokens; otherwise in requests.
  double plainTokens = 1;      ///< What a request without token counts uses of the limit.
};

/// Immutable: all routes and keys of one configuration version.
class RelayRoutes
{
public:
  /// @param aVersion  of the configuration; higher is newer
  explicit RelayRoutes(std::int64_t aVersion);

  void AddRoute(RelayRoute aRoute);
  void AddAccount(RelayAccount aAccount, const std::vector<std::string>& aKeys);

  [[nodiscard]] std::int64_t Version() const { return this->version; }

  /// The route of a host with the longest prefix that begins the path; null if there is none.
  /// @param aPath  as sent, without the query
  [[nodiscard]] RelayRoutePtr FindRoute(std::string_view aHost, std::string_view aPath) const;

  /// The account that holds a key; null if none does.
  [[nodiscard]] const RelayAccount* FindAccount(std::string_view aKey) const;

  /// Whether requests need a key at all.
  [[nodiscard]] bool HasAccounts() const { return !this->accounts.empty(); }

private:
  std::int64_t version;
  /// Routes of each host, the longest prefix first.
  std::map<std::string, std::vector<RelayRoutePtr>, std::less<>> routes;
  std::vector<RelayAccount> accounts;
  std::unordered_map<std::string, std::size_t> accountOfKey; ///< Index into `accounts`.
};

using RelayRoutesPtr = std::shared_ptr<const RelayRoutes>;

} // namespace lagoonward
