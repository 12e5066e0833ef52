#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace lagoonward {

/// Tells whether an entry that is no longer in its source can have lapsed, or was certainly removed by its endpoint.
/// Endpoints renew their entries at an interval, and the source removes an entry that was not renewed for some of these
/// intervals. An entry that was renewed a shorter time before it vanished was therefore removed on purpose.
///
/// Records carry no time, so each renewal counts from the earliest time at which it can have been written. Only a daemon
/// that reads the source regularly knows the renewals; on all others each entry can have lapsed. Not thread-safe.
class LapseDetector
{
public:
  /// @param aLapseTime  no entry lapses before it has not been renewed for this long
  explicit LapseDetector(Milliseconds aLapseTime);

  /// Handles a record of an endpoint.
  /// @param aNotBefore  earliest time at which the record can have been written; TimePoint::min() if unknown
  void OnRenewed(const std::string& aId, TimePoint aNotBefore);

  /// Whether the entry of an endpoint that is found missing now can have lapsed.
  [[nodiscard]] bool MayHaveLapsed(const std::string& aId, TimePoint aNow) const;

  /// Forgets all renewals: from now on each entry can have lapsed until it is renewed.
  void Clear() { this->renewedAt.clear(); }

  /// Drops renewals that no longer matter, as the entry can have lapsed since.
  void Prune(TimePoint aNow);

  [[nodiscard]] std::size_t Size() const { return this->renewedAt.size(); }

private:
  [[nodiscard]] bool IsPastLapse(TimePoint aRenewedAt, TimePoint aNow) const;

  Milliseconds lapseTime;
  std::unordered_map<std::string, TimePoint>
    renewedAt; ///< Earliest time of the newest record, by endpoint id.
};

} // namespace lagoonward
