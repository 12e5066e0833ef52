#pragma once

#include "Lagoonward/Admission/PermitBook.h"
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

/// Tunables of the limits that endpoints name.
struct EndpointLimitSettings
{
  double largest = 1e6; ///< Requests per second; a larger limit is none.

  /// How long an endpoint gets nothing from here where no keeper answers.
  Milliseconds unanswered{ 500 };

  std::size_t maximumEndpoints = 4096; ///< The one heard of longest ago goes first.
};

/// Which endpoints have named how many requests per second they take from all daemons together, as answers here have said,
/// and which of them must get nothing from here for now. Thread-safe; does no I/O.
class EndpointLimits
{
public:
  EndpointLimits(const EndpointLimitSettings& aSettings, const Clock& aClock);

  /// An answer of an endpoint names its limit.
  /// @param aPerSecond  requests; finite, not negative
  void OnNamed(std::string_view aEndpoint, double aPerSecond);

  /// An answer of an endpoint names none: one named before does not hold any more.
  void OnNoneNamed(std::string_view aEndpoint);

  /// An answer names a limit that cannot be understood: what was named before holds on.
  void OnMalformed(std::string_view aEndpoint);

  /// Hears of each limit that does not hold any more, to tell the keepers. Before any other call.
  void OnLifted(std::function<void(const PermitRequest& aNews)> aListener);

  /// What to ask for before a request is sent to an endpoint; nothing where it has named no limit.
  [[nodiscard]] std::optional<PermitRequest> WantedPermit(std::string_view aEndpoint);

  /// What a keeper has said, where it was no permit.
  void OnNoPermit(std::string_view aEndpoint, const PermitReply& aReply);

  /// Endpoints that must get nothing from here for now.
  [[nodiscard]] std::vector<std::string> Blocked();

  /// Endpoints that have named a limit.
  [[nodiscard]] std::vector<std::string> Limited();

  /// How long until the first of these endpoints may be asked for again; nothing where none of them is blocked.
  [[nodiscard]] std::optional<Milliseconds> UntilNextUnblocked(
    std::span<const std::string> aEndpoints);

private:
  struct Known
  {
    double perSecond = 0;
    TimePoint heardAt;
    TimePoint blockedUntil = TimePoint::min();
  };

  void MakeRoom();

  EndpointLimitSettings settings;
  const Clock& clock;
  std::mutex mutex; ///< Guards what follows.
  std::unordered_map<std::string, Known> known;
  std::function<void(const PermitRequest&)> lifted;
  bool malformedTold = false; ///< A malformed limit was written down.
};

} // namespace lagoonward
