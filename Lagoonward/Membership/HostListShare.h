#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/Messages.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Lets a few daemons of a region read the platform's host list for all of it: at 1,260 hosts one
/// reading has 217 KB. What they read travels as a shared state of the region, reduced to all daemons
/// and the region's endpoints, and only when it has changed. Pure.
class HostListShare
{
public:
  /// Name of the shared state; it stays within the region.
  static constexpr std::string_view kName = "region/hosts";

  HostListShare(const Clock& aClock, std::string aRegion, const HostListSettings& aSettings);

  /// Takes a list that this daemon has read itself, one after the other.
  /// @return what is to be published: nothing when the list reads as before, as the shared one, or
  ///         when the last one was published too recently (it is then published with a later reading)
  [[nodiscard]] std::optional<SharedState> OnRead(std::span<const HostEntry> aHosts);

  /// Takes the list that a peer has shared. Errors: InvalidRequest.
  [[nodiscard]] Result<std::vector<HostEntry>> OnShared(const SharedState& aState);

private:
  const Clock& clock;
  std::string region;
  HostListSettings settings;
  std::uint64_t readHash = 0;   ///< Of the last reading.
  std::uint64_t sharedHash = 0; ///< Of the list last published or taken.
  bool isChanged = false;       ///< A reading differed from the one before; not published yet.
  std::optional<TimePoint> publishedAt;
};

} // namespace lagoonward
