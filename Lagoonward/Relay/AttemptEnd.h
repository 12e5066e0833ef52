#pragma once

#include "Lagoonward/Wire/HttpExchange.h"

#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// An answer as the caller gets it.
struct RelayReply
{
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// What is known once one attempt is over.
enum class AttemptOutcome
{
  Whole,   ///< The endpoint's whole answer, a success.
  Failure, ///< The endpoint's whole answer, a failure; the request ran.
  NotSent, ///< Proven: the request never left.
  NotRun,  ///< Proven by the endpoint: it did not run the request.
  Unknown, ///< It may have run; no whole answer came.
};

/// Why an attempt ended without a whole success.
enum class AttemptCause
{
  None,           ///< It was one.
  NoConnection,   ///< The endpoint took none, or the request was withdrawn before it left.
  Refused,        ///< The endpoint did not run it.
  Failed,         ///< The endpoint's own failure answer.
  Unusable,       ///< An answer came that is not a whole one of this request.
  ConnectionLost, ///< The connection broke while the request was at the endpoint.
  Restarted,      ///< The endpoint has started anew since.
  Silent,         ///< Nothing came for too long.
};

/// The cause's name in logs, for example "connection_lost".
[[nodiscard]] std::string_view
ToString(AttemptCause aCause);

/// Whether the endpoint may have died of what it ran. One that has started anew is known to have.
[[nodiscard]] bool
MayBeCrash(AttemptCause aCause);

/// The end of one attempt.
struct AttemptEnd
{
  AttemptOutcome outcome = AttemptOutcome::Unknown;
  AttemptCause cause = AttemptCause::None;
  bool otherOwner = false; ///< The address belongs to another endpoint now.
  RelayReply reply;        ///< Of Whole and Failure; without a body for a stream of events.
  std::string reason;      ///< For logs.
};

} // namespace lagoonward
