#pragma once

#include "Lagoonward/Admission/PermitLedger.h"
#include "Lagoonward/Core/Clock.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Settings of the rate limits that endpoints advertise.
struct EndpointLimitSettings
{
  double largestLimit = 1e6; ///< Requests per second; a larger limit is treated as none.

  /// How long this daemon sends an endpoint nothing if no owner of its limit has replied.
  Milliseconds noReplyBlockTime{ 500 };

  std::size_t maximumEndpoints =
    4096; ///< Beyond, the endpoint whose limit was received longest ago is evicted.
};

/// Rate limits (requests per second over all daemons) that endpoints advertised in answers received by this daemon, and
/// the endpoints that this daemon must not send to for now. Thread-safe; performs no I/O.
class EndpointLimits
{
public:
  EndpointLimits(const EndpointLimitSettings& aSettings, const Clock& aClock);

  /// Handles an answer of an endpoint that advertises a limit.
  /// @param aPerSecond  requests; finite, not negative
  void OnLimitAdvertised(std::string_view aEndpoint, double aPerSecond);

  /// Handles an answer of an endpoint without a limit: an earlier limit no longer applies.
  void OnNoLimitAdvertised(std::string_view aEndpoint);

  /// Handles an answer whose limit cannot be parsed: an earlier limit still applies.
  void OnMalformedLimit(std::string_view aEndpoint);

  /// Sets the listener that is called for each limit that no longer applies, in order to notify the owners. Must be
  /// called before any other method.
  void SetLimitLiftedListener(std::function<void(const PermitRequest& aUpdate)> aListener);

  /// Returns the permit request to make before a request is sent to an endpoint; nothing if it has advertised no limit.
  [[nodiscard]] std::optional<PermitRequest> MakePermitRequest(std::string_view aEndpoint);

  /// Handles an owner's reply that grants no permit.
  void OnPermitDenied(std::string_view aEndpoint, const PermitReply& aReply);

  /// Endpoints that this daemon must not send to for now.
  [[nodiscard]] std::vector<std::string> BlockedEndpoints();

  /// Endpoints that have advertised a limit.
  [[nodiscard]] std::vector<std::string> LimitedEndpoints();

  /// Time until the first of these endpoints is unblocked; nothing if none of them is blocked.
  [[nodiscard]] std::optional<Milliseconds> UntilNextUnblocked(
    std::span<const std::string> aEndpoints);

private:
  struct LimitState
  {
    double perSecond = 0;
    TimePoint receivedAt;
    TimePoint blockedUntil = TimePoint::min();
  };

  void EvictOldest();

  EndpointLimitSettings settings;
  const Clock& clock;
  std::mutex mutex; ///< Guards all below.
  std::unordered_map<std::string, LimitState> limits;
  std::function<void(const PermitRequest&)> liftedListener;
  bool isMalformedLogged = false; ///< A malformed limit has been logged.
};

} // namespace lagoonward
