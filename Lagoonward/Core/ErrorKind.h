#pragma once

#include <span>
#include <string_view>

namespace lagoonward {

/// Whether a request that was answered with an error ran on an endpoint.
enum class Ran
{
  No,      ///< Proven: no endpoint began the request. Guaranteed to the caller.
  Unknown, ///< It may have run, completely or in part.
  Yes,     ///< It ran; only its answer is not available.
};

/// All error kinds. Every error that a daemon returns has one of these kinds; GetErrorRule() gives the HTTP
/// response for each.
enum class ErrorKind
{
  InvalidRequest,
  BodyTooLarge,
  HeadersTooLarge,
  RequestTimeout,
  MethodNotAllowed,
  UnknownPath,
  Unauthorized,
  UnknownMarket,
  UnknownModel,
  UnknownService,
  UnknownClass,
  KeyConflict,
  ClientOverLimit,
  Overloaded,
  DeadlineUnreachable,
  DeadlineExceeded,
  NoEndpoint,
  UnknownOrigin,
  OriginGone,
  NoConfiguration,
  EndpointFailed,
  EndpointRejected,
  RetryBudgetExhausted,
  PoisonRequest,
  ClaimUnavailable,
  OutcomeUnknown,
  AlreadyRan,
  Draining,
  PlatformUnavailable,
  StaleFencing,
  NotLeader,
  InvalidManifest,
  LostRace,
  InvalidSettings,
  Cancelled,
  Internal,
};

/// HTTP response and defaults for one kind of error.
struct ErrorRule
{
  ErrorKind kind;
  std::string_view name; ///< The `kind` field of the answer, for example "unknown_model".
  int httpStatus;
  Ran ran;               ///< Default; the call site may override it.
  bool sendsRetryAfter;  ///< Whether the answer carries `Retry-After`.
  std::string_view help; ///< One sentence for operators and callers: meaning and remedy.
};

/// Returns the rule of one kind.
[[nodiscard]] const ErrorRule&
GetErrorRule(ErrorKind aKind);

/// All rules, in the order of the enumeration.
[[nodiscard]] std::span<const ErrorRule>
GetErrorRules();

/// "no", "unknown" or "yes".
[[nodiscard]] std::string_view
ToString(Ran aRan);

} // namespace lagoonward
