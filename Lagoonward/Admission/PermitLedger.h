#pragma once

#include "Lagoonward/Admission/SharedTokenBucket.h"
#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace lagoonward {

/// Settings of permits to send to endpoints that advertise a limit.
struct PermitSettings
{
  /// Lowest rate in requests per second, also for a limit of 0: without any request no answer could show a higher
  /// limit.
  double minimumPerSecond = 0.25;
  double burst = 2;         ///< Permits that the primary owner grants at once.
  double backupBurst = 1;   ///< The same for the backup owner.
  double backupShare = 0.2; ///< Fraction of the limit that the backup grants beside the primary.

  /// For this long after it became the primary, an owner grants only a backup's share: the previous primary may not
  /// have learned of the change yet.
  Milliseconds takeoverDelay{ 5000 };

  Milliseconds maximumWait{ 2000 };    ///< Longest wait in a reply that grants no permit.
  Milliseconds idleTimeout{ 600'000 }; ///< An endpoint without requests for this long is removed.
  std::size_t maximumEndpoints = 4096; ///< Beyond, no permits are granted for further endpoints.
};

/// Requests a permit to send one request to an endpoint, and reports the limit that the sender last received from it.
struct PermitRequest
{
  std::uint64_t endpoint = 0;
  bool isLimited = true;   ///< Whether the newest answer has advertised a limit.
  double perSecond = 0;    ///< That limit.
  std::int64_t age = 0;    ///< Milliseconds since that answer.
  bool wantsPermit = true; ///< Whether a permit is requested; false if the limit is only reported.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->endpoint, this->isLimited, this->perSecond, this->age, this->wantsPermit);
  }
};

/// An owner's reply.
enum class PermitAnswer : std::uint8_t
{
  NotOwner,  ///< This daemon does not own the endpoint, according to its list of daemons.
  Granted,   ///< One request may be sent now.
  Wait,      ///< No permit; ask again after `retryAfterMs`.
  Unlimited, ///< A newer answer of the endpoint has advertised no limit.
};

struct PermitReply
{
  PermitAnswer answer = PermitAnswer::NotOwner;
  std::uint32_t retryAfterMs = 0; ///< Milliseconds; set with Wait.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->answer, this->retryAfterMs);
  }
};

/// Grants permits for the endpoints that this daemon owns. All daemons together send an endpoint at most what its
/// primary and its backup owner grant: in any time span at most 1.2 times the limit and three more, independent of how
/// requests are spread over daemons and of the delay of updates. An owner that takes over grants only a backup's share
/// until the previous owner must have learned of the change. Thread-safe; performs no I/O.
class PermitLedger
{
public:
  PermitLedger(const PermitSettings& aSettings, const Clock& aClock);

  /// Handles a daemon's request.
  /// @param aRole      this daemon's role for the endpoint
  /// @param aIsStable  whether the list of daemons has been unchanged for TakeoverDelay(), so that no other daemon
  ///                   owned the endpoint before
  [[nodiscard]] PermitReply Serve(const PermitRequest& aRequest, ReserveRole aRole, bool aIsStable);

  /// Time without changes after which the list of daemons counts as stable.
  [[nodiscard]] Milliseconds TakeoverDelay() const { return this->settings.takeoverDelay; }

private:
  struct Bucket
  {
    bool isLimited = true;
    double perSecond = 0;
    TimePoint receivedAt; ///< Time of the endpoint's answer with this limit.
    double permits = 0;
    TimePoint refilledAt;
    std::optional<TimePoint> primarySince; ///< Empty while this daemon is not the primary.
    int refusals = 0;                      ///< Since the last grant.
  };

  [[nodiscard]] Bucket* FindOrCreate(const PermitRequest& aRequest, bool aIsStable, TimePoint aNow);
  void UpdateLimit(Bucket& aBucket, const PermitRequest& aRequest, TimePoint aNow) const;
  /// Permits per second that this daemon grants in its role.
  [[nodiscard]] double RefillRate(Bucket& aBucket, ReserveRole aRole, TimePoint aNow) const;
  [[nodiscard]] PermitReply TryGrant(Bucket& aBucket, ReserveRole aRole, TimePoint aNow) const;

  PermitSettings settings;
  const Clock& clock;
  std::mutex mutex; ///< Guards all below.
  std::unordered_map<std::uint64_t, Bucket> buckets;
};

} // namespace lagoonward
