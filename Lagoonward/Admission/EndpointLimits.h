#pragma once

#include "Lagoonward/Core/Clock.h"

#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lagoonward {

/// Tunables of the limits that endpoints name.
struct EndpointLimitSettings
{
  double largest = 1e6; ///< Requests per second; a larger limit is none.
};

/// Which endpoints have named how many requests per second they take from all daemons together, as answers here have said.
/// Thread-safe; does no I/O.
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

private:
  struct Known
  {
    double perSecond = 0;
    TimePoint heardAt;
  };

  EndpointLimitSettings settings;
  const Clock& clock;
  std::mutex mutex; ///< Guards what follows.
  std::unordered_map<std::string, Known> known;
  bool malformedTold = false; ///< A malformed limit was written down.
};

} // namespace lagoonward
