#pragma once

#include "Lagoonward/Admission/EndpointNotices.h"
#include "Lagoonward/Core/Error.h"
#include "Lagoonward/Fleet/Endpoint.h"
#include "Lagoonward/Relay/AttemptResult.h"
#include "Lagoonward/Relay/RelayCall.h"
#include "Lagoonward/Routing/EngineWork.h"

#include <optional>
#include <string_view>

namespace lagoonward {

/// What is known of the last call to move a stream when the stream has ended.
enum class MoveKnowledge
{
  None,       ///< None was made.
  NoReply,    ///< Not answered yet.
  Moved,      ///< The stream went on elsewhere.
  NotStopped, ///< The reply says that the call did not stop the run.
  Stopped,    ///< The reply says that the call stopped the run, which did not go on elsewhere.
  Unknown,    ///< The call failed, or its reply says nothing of the run.
};

/// Name for logs and metrics, for example "no_reply".
[[nodiscard]] std::string_view
ToString(MoveKnowledge aMove);

/// Result of a relayed request.
struct RelayResult
{
  /// HTTP status sent to the caller; zero if the caller had disconnected or the stream was aborted.
  int status = 0;
  bool succeeded = false;  ///< The caller got a complete success response.
  int sends = 0;           ///< Attempts that may have reached an endpoint.
  std::string reason;      ///< Why the request did not succeed; empty on success.
  std::string endpoint;    ///< Id of the last endpoint used; empty for none.
  ResponseTrace response;  ///< Of the last attempt; empty if it was cancelled.
  std::string lastEventId; ///< Of the stream's events that the caller was sent; empty for none.
  MoveKnowledge move = MoveKnowledge::None;
};

/// Description of a send to an endpoint.
struct SendRecord
{
  int send = 0;    ///< The first of a request has 1.
  EngineWork work; ///< For the endpoint; zero if an earlier send of the request has reported it.
  /// Other requests known to be in flight at the endpoint: of this daemon, and as the other daemons have reported.
  int ownInFlight = 0;
  int peersInFlight = 0;
  EndpointNotice notice = EndpointNotice::None; ///< In force for the endpoint.
  /// How long the request has waited for a slot of the endpoint; empty if its service is not queued.
  std::optional<Milliseconds> slotWait;
};

/// Description of a failed attempt.
struct FailedAttempt
{
  std::string_view endpoint;
  AttemptCause cause = AttemptCause::None;
  std::string_view reason;        ///< For logs.
  bool willRetry = false;         ///< The request will be retried.
  std::string_view obstacle = {}; ///< Why it will not be; empty if it will.
  ResponseTrace response = {};
};

/// Description of a call that was to move a stream.
struct MoveReport
{
  std::string_view source; ///< Id of the endpoint that ran the stream.
  std::string_view target;
  MoveKnowledge outcome = MoveKnowledge::Unknown;
  std::string_view reason;      ///< Status of the reply, or why there is none.
  std::string_view lastEventId; ///< Last event that has arrived from the source.
  bool streamHasEnded = false;  ///< The connection of the stream was closed before the reply came.
  BodyEnd bodyEnd = BodyEnd::None; ///< What marks the end of that stream; known once it has ended.
};

/// What becomes of a stream that its caller takes up.
enum class ResumptionOutcome
{
  Continued, ///< It goes on at the software version that began it.
  SoleVersion, ///< It goes on at the only version that can have begun it, though its origin is not recorded.
  VersionGone,    ///< Refused: no live endpoint runs that version.
  UnknownOrigin,  ///< Refused: nothing is known of the stream.
  ServiceChanged, ///< It goes on at the service that its route has now.
};

/// Receives the events of relayed requests for logs, metrics, metering and demand. Called on the traffic loop.
class RelayObserver
{
public:
  virtual ~RelayObserver() = default;

  virtual void OnAccepted(const RelayCall& aCall) = 0;
  virtual void OnSent(const RelayCall& aCall, const Endpoint& aEndpoint,
                      const SendRecord& aSend) = 0;
  /// A caller takes up a stream of which it has events.
  /// @param aSoftwareVersion  what began it; empty if unknown
  virtual void OnResumption(const RelayCall& aCall, ResumptionOutcome aOutcome,
                            std::string_view aSoftwareVersion) = 0;
  /// An endpoint has begun to respond for the first time, so the request is running.
  virtual void OnStarted(const RelayCall& aCall) = 0;
  virtual void OnAttemptFailed(const RelayCall& aCall, const FailedAttempt& aFailed) = 0;
  /// A call to move a stream off a leaving endpoint has ended.
  virtual void OnMoved(const RelayCall& aCall, const MoveReport& aMove) = 0;
  virtual void OnEnded(const RelayCall& aCall, const RelayResult& aEnd) = 0;
};

} // namespace lagoonward
