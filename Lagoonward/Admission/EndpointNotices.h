#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Fleet/Endpoint.h"

#include <mutex>
#include <string_view>
#include <unordered_map>

namespace lagoonward {

/// Settings of EndpointNotices.
struct EndpointNoticeSettings
{
  /// Endpoints with a notice; beyond, the one with the oldest notice is evicted. Several times the endpoints of the
  /// largest deployment, as each start of one has its own notices.
  std::size_t maximumEndpoints = 4096;
};

/// What an endpoint has said of itself.
enum class EndpointNotice
{
  None,
  Leaving, ///< It will terminate and wants no new requests. Final for that instance.
  Resting, ///< It wants no requests of this daemon for now.
};

/// Name of the notice in logs; empty for none.
[[nodiscard]] std::string_view
ToString(EndpointNotice aNotice);

/// What endpoints have said of themselves in their answers to this daemon: that they leave, or that they want no requests
/// of it for a time. An endpoint's record in the platform's store may say so later or never. Keys are those of
/// EndpointKeyOf(), so that a later instance of an endpoint starts without notices. Times are Clock::BootNow().
/// Thread-safe; performs no I/O.
class EndpointNotices
{
public:
  EndpointNotices(const EndpointNoticeSettings& aSettings, const Clock& aClock);

  /// Handles an answer in which an endpoint says that it leaves.
  /// @param aEndpoint  its id, for the log
  void OnLeaving(std::uint64_t aKey, std::string_view aEndpoint);

  /// Handles an answer that turns a request away and asks for a rest from its arrival on. A rest that ends later than
  /// this one stays in force, as answers may overtake each other.
  void OnRest(std::uint64_t aKey, std::string_view aEndpoint, Milliseconds aTime);

  /// Handles an answer with a rest that is no number of seconds: it has no effect.
  void OnMalformedRest(std::string_view aEndpoint);

  /// The notice in force. A leaving endpoint does not come back, so it goes before a rest.
  [[nodiscard]] EndpointNotice Find(std::uint64_t aKey);

  /// Number of endpoints that a notice is in force for.
  [[nodiscard]] int Count(EndpointNotice aNotice);

private:
  struct State
  {
    bool isLeaving = false;
    TimePoint restsUntil = TimePoint::min();
    TimePoint receivedAt; ///< Of the newest notice.
  };

  [[nodiscard]] State& FindOrCreate(std::uint64_t aKey);
  [[nodiscard]] static EndpointNotice NoticeOf(const State& aState, TimePoint aNow);

  EndpointNoticeSettings settings;
  const Clock& clock;
  std::mutex mutex; ///< Guards all below.
  std::unordered_map<std::uint64_t, State> states;
  bool isMalformedLogged = false;
};

} // namespace lagoonward
