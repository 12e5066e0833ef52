#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace lagoonward {

/// Tells whether an entry that is no longer in its source can have lapsed, or was certainly removed by its endpoint.
/// Endpoints renew their entries at an interval, and the source removes an entry that was not renewed for some of these
/// intervals. An entry that was renewed a shorter time before it vanished was therefore removed on purpose.
///
/// Records carry no time, so each renewal counts from the previous read of the source: it was written later. Entries may
/// lapse before their time in an outage of the source, so only renewals since which this host has read the source without
/// a pause prove anything. A host that receives the records from others knows neither. All times are BootNow(). Not
/// thread-safe.
class LapseDetector
{
public:
  /// @param aLapseTime     no entry lapses before it has not been renewed for this long
  /// @param aLongestPause  pause between two reads in which no outage can have been missed
  LapseDetector(Milliseconds aLapseTime, Milliseconds aLongestPause);

  /// The source has answered a read, whose records have been passed to OnRenewed().
  /// @param aAsOf  when the read began
  void OnRead(TimePoint aAsOf);

  /// The source has stopped answering, or answers again.
  void OnOutage();

  /// Handles a record of an endpoint that was not in the previous read.
  void OnRenewed(const std::string& aId, TimePoint aNow);

  /// Whether the entry of an endpoint that is found missing now can have lapsed.
  [[nodiscard]] bool MayHaveLapsed(const std::string& aId, TimePoint aNow) const;

  /// Drops renewals that no longer matter, as the entry can have lapsed since.
  void Prune(TimePoint aNow);

  [[nodiscard]] std::size_t Size() const { return this->renewedAt.size(); }

private:
  [[nodiscard]] bool IsPaused(TimePoint aNow) const;
  [[nodiscard]] bool IsPastLapse(TimePoint aRenewedAt, TimePoint aNow) const;

  Milliseconds lapseTime;
  Milliseconds longestPause;
  std::optional<TimePoint> previousRead; ///< Empty after an outage.
  std::unordered_map<std::string, TimePoint>
    renewedAt; ///< Earliest time of the newest renewal, by endpoint id.
};

} // namespace lagoonward
