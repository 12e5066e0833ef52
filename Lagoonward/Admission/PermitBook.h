#pragma once

#include "Lagoonward/Admission/PooledBucket.h"
#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace lagoonward {

/// Tunables of permits to send to endpoints that name a limit.
struct PermitSettings
{
  double least =
    0.25; ///< Requests per second where an endpoint takes none: else nobody hears when it does again.
  double burst = 2;        ///< Permits that the primary keeper gives at once.
  double backupBurst = 1;  ///< The same for the backup.
  double backupPart = 0.2; ///< Of the limit, which the backup gives beside the primary.

  /// So long after it became a primary a keeper gives only a backup's part: the one before may not know yet.
  Milliseconds takeover{ 5000 };

  Milliseconds longestWait{ 2000 };    ///< That is given to those who get none.
  Milliseconds idle{ 600'000 };        ///< An endpoint nobody asked about for so long is forgotten.
  std::size_t maximumEndpoints = 4096; ///< Beyond, nobody gets a permit for one more.
};

/// Asks whether one request may be sent to an endpoint, and tells what the asker has last heard of its limit.
struct PermitRequest
{
  std::uint64_t endpoint = 0;
  bool isLimited = true; ///< Whether the newest answer has named a limit.
  double perSecond = 0;  ///< That limit.
  std::int64_t age = 0;  ///< Milliseconds since that answer.
  bool wants = true;     ///< Whether it asks at all, or only tells.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->endpoint, this->isLimited, this->perSecond, this->age, this->wants);
  }
};

/// What a keeper says.
enum class PermitAnswer : std::uint8_t
{
  NotKeeper, ///< It keeps nothing of this endpoint, as it sees the daemons.
  Granted,   ///< One request may be sent now.
  Wait,      ///< None for a while.
  Unlimited, ///< The endpoint has since named no limit.
};

struct PermitReply
{
  PermitAnswer answer = PermitAnswer::NotKeeper;
  std::uint32_t wait = 0; ///< Milliseconds, of Wait.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->answer, this->wait);
  }
};

/// Gives permits for the endpoints that this daemon keeps. All daemons together send an endpoint what its primary and its
/// backup give: in any span at most 1.2 times the limit and three more, whoever has the work and however late news are; a
/// keeper that takes over gives little until the one before must know. Thread-safe; does no I/O.
class PermitBook
{
public:
  PermitBook(const PermitSettings& aSettings, const Clock& aClock);

  /// Answers a daemon.
  /// @param aRole       what this daemon is for the endpoint
  /// @param aIsSettled  whether the daemons have been the same for a while, so that nobody kept it before
  [[nodiscard]] PermitReply Serve(const PermitRequest& aRequest, ReserveRole aRole,
                                  bool aIsSettled);

  /// After how long the daemons count as settled.
  [[nodiscard]] Milliseconds Takeover() const { return this->settings.takeover; }

private:
  struct Bucket
  {
    bool isLimited = true;
    double perSecond = 0;
    TimePoint heardAt; ///< When an answer said so.
    double permits = 0;
    TimePoint filledAt;
    std::optional<TimePoint> primarySince; ///< Nothing while it is no primary.
    int refused = 0;                       ///< Since the last permit.
  };

  [[nodiscard]] Bucket* Find(const PermitRequest& aRequest, bool aIsSettled, TimePoint aNow);
  void Hear(Bucket& aBucket, const PermitRequest& aRequest, TimePoint aNow) const;
  /// Permits a second that this daemon gives in its role.
  [[nodiscard]] double RateOf(Bucket& aBucket, ReserveRole aRole, TimePoint aNow) const;
  [[nodiscard]] PermitReply Take(Bucket& aBucket, ReserveRole aRole, TimePoint aNow) const;

  PermitSettings settings;
  const Clock& clock;
  std::mutex mutex; ///< Guards what follows.
  std::unordered_map<std::uint64_t, Bucket> buckets;
};

} // namespace lagoonward
