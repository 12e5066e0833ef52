#pragma once

#include <span>
#include <string_view>

namespace lagoonward {

/// What a caller may conclude about a request that was answered with an error.
enum class Ran
{
  No,      ///< Proven: no endpoint began the request. A promise to the caller.
  Unknown, ///< It may have run, wholly or in part.
  Yes,     ///< It ran; only its answer is missing.
};

/// The closed list of error kinds. Every error that leaves a daemon is one of these;
/// GetErrorRule() gives the answer that belongs to each.
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

/// How one kind of error is answered.
struct ErrorRule
{
  ErrorKind kind;
  std::string_view name; ///< The `kind` field of the answer, for example "unknown_model".
  int httpStatus;
  Ran ran;               ///< What it says unless the place that raises it knows better.
  bool waitingHelps;     ///< Whether the answer carries `Retry-After`.
  std::string_view help; ///< One sentence for operators and callers: what it means, what to do.
};

/// The rule of one kind.
[[nodiscard]] const ErrorRule&
GetErrorRule(ErrorKind aKind);

/// All rules, in the order of the enumeration.
[[nodiscard]] std::span<const ErrorRule>
GetErrorRules();

/// "no", "unknown" or "yes".
[[nodiscard]] std::string_view
ToString(Ran aRan);

} // namespace lagoonward
