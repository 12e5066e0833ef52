#pragma once

#include "Lagoonward/Wire/HttpExchange.h"
#include "Lagoonward/Wire/HttpTransfer.h"

#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// A response as it is delivered to the caller.
struct RelayReply
{
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// What is known about the execution of a request after one attempt has finished.
enum class AttemptOutcome
{
  Success, ///< A complete success response of the endpoint.
  Failure, ///< A complete failure response of the endpoint; the request ran.
  NotSent, ///< The request provably never left this host.
  NotRun,  ///< The endpoint stated that it did not run the request.
  Unknown, ///< The request may have run; no complete response arrived.
};

/// Why an attempt ended without a complete success response.
enum class AttemptCause
{
  None,            ///< The attempt succeeded.
  NoConnection,    ///< No connection was established.
  Withheld,        ///< The request was withheld right before it was sent.
  Refused,         ///< The endpoint stated that it did not run the request.
  Failed,          ///< The endpoint answered with a failure of its own.
  InvalidResponse, ///< The response is incomplete, malformed or belongs to another request.
  ConnectionLost,  ///< The connection broke after the request may have been sent.
  Restarted,       ///< The endpoint has restarted since the request was sent.
  TimedOut,        ///< No data arrived within the silence timeout, or the transfer timed out.
};

/// Name of the cause in logs, for example "connection_lost".
[[nodiscard]] std::string_view
ToString(AttemptCause aCause);

/// Whether the endpoint may have crashed while it ran the request, which has yet to be determined. False for
/// Restarted, where it is known that the endpoint process has ended.
[[nodiscard]] bool
IsPossibleCrash(AttemptCause aCause);

/// What the HTTP client received as the head of a response, for logs.
struct ResponseTrace
{
  std::string statusLine; ///< As received, perhaps shortened; empty if there was none.
  /// The connection had carried another response before, so that bytes of a late one may precede this one.
  bool onReusedConnection = false;
  BodyEnd bodyEnd = BodyEnd::None; ///< What marks the end of the body.
};

/// Result of one attempt.
struct AttemptResult
{
  AttemptOutcome outcome = AttemptOutcome::Unknown;
  AttemptCause cause = AttemptCause::None;
  bool addressReassigned = false; ///< The address is now used by a different endpoint.
  bool isEventStream = false;     ///< The body was passed on event by event.
  bool isForeign = false;         ///< What arrived belongs to another request, wholly or in part.
  RelayReply reply;               ///< Set for Success and Failure; has no body for an event stream.
  std::string reason;             ///< For logs.
  ResponseTrace response;
};

/// Whether the endpoint has not run the request in this attempt, and will not.
[[nodiscard]] bool
IsProvenNotRun(const AttemptResult& aEnd);

} // namespace lagoonward
