#pragma once

#include "Lagoonward/Membership/MembershipSettings.h"

#include <cstddef>
#include <optional>

namespace lagoonward {

/// Computes when this daemon polls the platform's host list. The interval grows with the length of the list, because
/// each poll transfers all of it. Daemons that receive the list from the readers of their region poll at a much longer
/// interval, as a fallback in case the readers cannot reach the platform. Performs no I/O. Not thread-safe.
class HostListPollInterval
{
public:
  explicit HostListPollInterval(HostListSettings aSettings);

  /// Whether a poll is due. The first one always is.
  /// @param aIsReader  whether this daemon reads the list for its region
  [[nodiscard]] bool IsDue(TimePoint aNow, bool aIsReader) const;

  /// Records a completed poll.
  void OnRead(TimePoint aNow, std::size_t aHostCount);

private:
  HostListSettings settings;
  std::optional<TimePoint> lastRead;
  std::size_t hostCount = 0; ///< Of the list last read.
};

} // namespace lagoonward
