#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Fleet/FleetSnapshot.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lagoonward {

/// Software versions by service.
using VersionsByService = std::map<std::string, std::set<std::string>, std::less<>>;

/// Software versions that a service's endpoints ran during a time.
struct ServiceVersions
{
  bool isComplete = false; ///< This daemon knew the endpoints throughout that time.
  int count = 0;           ///< Versions that it saw.
  std::string version;     ///< One of them; empty for none.

  /// The only version that ran during that time; nothing if there were several, or if some may have been missed.
  [[nodiscard]] std::optional<std::string> Sole() const;
};

/// Which software versions each service's endpoints have run, as far as the snapshots of this daemon show. An endpoint that
/// came and left between two snapshots is not seen. What ran before this daemon knew the endpoints, or in a gap of what it
/// knew, is only known from a record that the daemons share and that outlasts them. All times are BootNow(). Thread-safe.
class SoftwareVersionHistory
{
public:
  /// The clock must outlive the history.
  explicit SoftwareVersionHistory(const Clock& aClock);

  /// A snapshot of the endpoints was published. On one thread.
  void OnSnapshot(const FleetSnapshot& aFleet);

  /// The published snapshot contains everything that the endpoints' source acknowledged before this time. On one thread.
  void OnCurrent(TimePoint aAsOf);

  /// The shared record was read: the versions that streams may still be of.
  /// @param aReadAt  when the read began
  void OnRecorded(const VersionsByService& aRecorded, TimePoint aReadAt);

  /// Whether the shared record is to be read, as this daemon does not know what ran before or in a gap.
  [[nodiscard]] bool NeedsRecord();

  /// The versions that ran during the last time of this length; nothing if some may have been missed.
  [[nodiscard]] std::optional<VersionsByService> AllVersions(Milliseconds aDuring);

  /// Whether the published snapshot contains everything that was acknowledged before this time.
  [[nodiscard]] bool IsCurrentAsOf(TimePoint aTime);

  /// The versions that a service has run during the last time of this length.
  [[nodiscard]] ServiceVersions VersionsOf(std::string_view aService, Milliseconds aDuring);

private:
  [[nodiscard]] bool IsRecordUpToDate() const;
  [[nodiscard]] bool IsCurrent(TimePoint aNow) const;

  using VersionTimes = std::map<std::string, TimePoint, std::less<>>;

  const Clock& clock;
  std::mutex mutex; ///< Guards what follows.
  std::map<std::string, VersionTimes, std::less<>>
    lastSeen; ///< By service and version; TimePoint::max() while it runs.
  std::optional<TimePoint> asOf;
  std::optional<TimePoint> recordReadAt;
  TimePoint
    knownSince; ///< Begin of the time without a gap in what was known. Only if `asOf` is set.
};

} // namespace lagoonward
