#pragma once

#include "Lagoonward/Membership/MembershipSettings.h"

#include <cstddef>
#include <optional>

namespace lagoonward {

/// How often a daemon reads the platform's host list itself. The longer the list, the rarer: each
/// reading transfers all of it. Daemons that get it from their region's readers read seldom, against
/// the case that the readers cannot reach the platform. Pure.
class HostListPace
{
public:
  explicit HostListPace(HostListSettings aSettings);

  /// Whether to read now. The first reading is always due.
  /// @param aIsReader  whether this daemon reads for its region
  [[nodiscard]] bool IsDue(TimePoint aNow, bool aIsReader) const;

  /// Notes a reading.
  void OnRead(TimePoint aNow, std::size_t aHosts);

private:
  HostListSettings settings;
  std::optional<TimePoint> lastRead;
  std::size_t hosts = 0; ///< In the last reading.
};

} // namespace lagoonward
