#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/ErrorKind.h"

#include <optional>
#include <string>

namespace lagoonward {

/// Error value: the kind, a message, and whether the request may have run on an endpoint.
struct Error
{
  /// An internal error without a message; Result<> requires a default constructor.
  Error();

  /// Sets `ran` to the default of the kind's rule.
  Error(ErrorKind aKind, std::string aMessage);

  /// Sets `ran` explicitly, for call sites that know more than the rule's default.
  Error(ErrorKind aKind, std::string aMessage, Ran aRan);

  /// Returns a copy with the delay after which the caller may retry. Only sent for kinds whose rule has
  /// `sendsRetryAfter`.
  [[nodiscard]] Error WithRetryAfter(Milliseconds aDelay) const;

  /// The JSON body of the error response: `{"error":{"kind":…,"message":…,"ran":…}}`.
  [[nodiscard]] std::string ToJson() const;

  ErrorKind kind;
  std::string message; ///< One sentence, for the caller. Never contains keys or bodies.
  Ran ran;
  std::optional<Milliseconds> retryAfter;
};

} // namespace lagoonward
