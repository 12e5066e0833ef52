#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/ErrorKind.h"

#include <optional>
#include <string>

namespace lagoonward {

/// One error value: its kind, what happened, and what is known about the request having run.
struct Error
{
  /// An internal error without a message; Result<> needs a default.
  Error();

  /// Takes `ran` from the kind's rule.
  Error(ErrorKind aKind, std::string aMessage);

  /// States `ran` explicitly, for places that know better than the rule.
  Error(ErrorKind aKind, std::string aMessage, Ran aRan);

  /// Sets when the caller should come back. Only sent for kinds where waiting helps.
  [[nodiscard]] Error WithRetryAfter(Milliseconds aDelay) const;

  /// The JSON body that callers get: `{"error":{"kind":…,"message":…,"ran":…}}`.
  [[nodiscard]] std::string ToJson() const;

  ErrorKind kind;
  std::string message; ///< One sentence, for the caller. Never contains keys or bodies.
  Ran ran;
  std::optional<Milliseconds> retryAfter;
};

} // namespace lagoonward
