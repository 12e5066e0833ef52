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

/// Distributes the platform's host list within a region, so that only a few daemons (the readers) poll it: at 1,260
/// hosts one response has 217 KB. A reader publishes the list as a shared state of the region, reduced to all daemons
/// and the region's endpoints, and only when it has changed. Performs no I/O. Not thread-safe.
class HostListDistribution
{
public:
  /// Name of the shared state. It is not sent to other regions.
  static constexpr std::string_view kName = "region/hosts";

  HostListDistribution(const Clock& aClock, std::string aRegion, const HostListSettings& aSettings);

  /// Handles a list that this daemon has read from the platform. To be called in the order of the reads.
  /// @return the state to publish; nothing if the list equals the one read before or the shared one, or if the last
  ///         publication is too recent (the change is then published after a later read)
  [[nodiscard]] std::optional<SharedState> OnRead(std::span<const HostEntry> aHosts);

  /// Decodes a list that a peer has shared. Errors: InvalidRequest.
  [[nodiscard]] Result<std::vector<HostEntry>> ApplyShared(const SharedState& aState);

private:
  const Clock& clock;
  std::string region;
  HostListSettings settings;
  std::uint64_t lastReadHash = 0;    ///< Of the list last read.
  std::uint64_t sharedHash = 0;      ///< Of the list last published or received.
  bool hasUnpublishedChange = false; ///< The list read has changed since the last publication.
  std::optional<TimePoint> publishedAt;
};

} // namespace lagoonward
