#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Fleet/FleetSnapshot.h"

#include <functional>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Settings of EndpointNotices.
struct EndpointNoticeSettings
{
  /// Endpoints with a notice; beyond, the one with the oldest notice is evicted. Several times the endpoints of the
  /// largest deployment, as each start of one has its own notices.
  std::size_t maximumEndpoints = 4096;

  /// How long other daemons are told that an endpoint leaves: until its record says so or it has gone, also if the
  /// platform's store is away meanwhile.
  Milliseconds reportedFor{ 60'000 };

  /// After a backoff the endpoint gets one request, and then two more for each that it answers, until it has answered this
  /// many: all that waited must not arrive at once, as it may reject them again.
  int answersUntilRecovered = 8;

  /// Interval after which another request may be sent to it although none was answered.
  Milliseconds recoveryInterval{ 1000 };
};

/// What one daemon reports to others about an endpoint that leaves.
struct LeavingReport
{
  std::uint64_t endpoint = 0; ///< See EndpointKeyOf().
  std::uint32_t age = 0;      ///< Milliseconds since the first answer that says so.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->endpoint, this->age);
  }
};

/// What an endpoint has said of itself.
enum class EndpointNotice
{
  None,
  Leaving, ///< It will terminate and wants no new requests. Final for that instance.
  Backoff, ///< It wants no requests of this daemon for now.
};

/// Name of the notice in logs; empty for none.
[[nodiscard]] std::string_view
ToString(EndpointNotice aNotice);

/// What endpoints have said of themselves in their answers: that they leave, or that they want no requests of this daemon
/// for a time (a backoff), after which they get more and more again. An endpoint's record in the platform's store may say
/// so later or never. That an endpoint leaves concerns all daemons, so they report it to each other; a backoff concerns
/// only the daemon that was asked for it. Keys are those of EndpointKeyOf(), so that a later instance of an endpoint
/// starts without notices. Times are Clock::BootNow(). Thread-safe; performs no I/O.
class EndpointNotices
{
public:
  EndpointNotices(const EndpointNoticeSettings& aSettings, const Clock& aClock);

  /// Handles an answer in which an endpoint says that it leaves.
  /// @param aEndpoint  its id, for the log
  void OnLeaving(std::uint64_t aKey, std::string_view aEndpoint);

  /// Handles an answer that rejects a request and asks for a backoff from its arrival on. A backoff that ends later than
  /// this one stays in force, as answers may overtake each other.
  void OnBackoff(std::uint64_t aKey, std::string_view aEndpoint, Milliseconds aTime);

  /// A request is being sent to the endpoint.
  void OnSent(std::uint64_t aKey);

  /// Handles an answer to a request that the endpoint accepted.
  /// @param aSentAt  Clock::Now() at which the request was sent; one from before the end of the backoff says nothing
  void OnAccepted(std::uint64_t aKey, TimePoint aSentAt);

  /// Handles an answer with a backoff that is no number of seconds: it has no effect.
  void OnMalformedBackoff(std::string_view aEndpoint);

  /// The notice in force. A leaving endpoint does not come back, so it goes before a backoff.
  [[nodiscard]] EndpointNotice Find(std::uint64_t aKey);

  /// Endpoints that are live in the snapshot and to which nothing may be sent now.
  [[nodiscard]] std::vector<std::string> BlockedEndpoints(const FleetSnapshotPtr& aFleet);

  /// Time until an endpoint may be sent requests again; nothing if it may now, or never.
  [[nodiscard]] std::optional<Milliseconds> UntilUnblocked(std::uint64_t aKey);

  /// Marks the endpoints in a snapshot that have said that they leave.
  void ApplyTo(FleetSnapshot& aFleet);

  /// What to send to other daemons.
  [[nodiscard]] std::vector<LeavingReport> Reports();

  /// Applies the reports of another daemon.
  void OnReports(std::span<const LeavingReport> aReports);

  /// Sets the listener that is called, on any thread, when an endpoint is first known to leave. Must be called before any
  /// other method.
  void SetLeavingListener(std::function<void()> aListener);

  /// Number of endpoints that a notice is in force for.
  [[nodiscard]] int Count(EndpointNotice aNotice);

private:
  struct State
  {
    /// When the first answer that says so arrived at any daemon.
    std::optional<TimePoint> leavingSince;
    TimePoint backoffUntil = TimePoint::min();
    /// It is in a backoff, or has been and has not answered enough requests since.
    bool isRecovering = false;
    int sends = 0; ///< Since the end of the backoff, as is the next.
    int answers = 0;
    TimePoint receivedAt; ///< Of the newest notice.
  };

  /// Blocked endpoints among those of a snapshot; valid for that snapshot, until something of them changes.
  struct BlockedCache
  {
    FleetSnapshotPtr fleet;
    TimePoint validUntil = TimePoint::min();
    std::vector<std::string> endpoints;
  };

  /// @return whether it was not known to leave before
  [[nodiscard]] bool SetLeaving(std::uint64_t aKey, TimePoint aSince);
  [[nodiscard]] State& FindOrCreate(std::uint64_t aKey);
  /// How many requests a recovering endpoint may have been sent by now.
  [[nodiscard]] int AllowedSends(const State& aState, TimePoint aNow) const;
  /// Until when the endpoint is blocked, TimePoint::max() if it leaves; not after `aNow` if it is not.
  [[nodiscard]] TimePoint BlockedUntil(const State& aState, TimePoint aNow) const;
  void RefreshCache(const FleetSnapshotPtr& aFleet);
  [[nodiscard]] static EndpointNotice NoticeOf(const State& aState, TimePoint aNow);

  EndpointNoticeSettings settings;
  const Clock& clock;
  std::mutex mutex; ///< Guards all below.
  std::unordered_map<std::uint64_t, State> states;
  BlockedCache blocked;
  std::function<void()> leavingListener = [] {};
  bool isMalformedLogged = false;
};

} // namespace lagoonward
