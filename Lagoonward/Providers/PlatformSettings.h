#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstddef>

namespace lagoonward {

/// Settings of the adapters for the platform's services.
struct PlatformSettings
{
  Milliseconds connectTimeout{ 1000 }; ///< Timeout of a connection attempt.
  /// Until the response begins, in addition to the call's own `wait`, and between two parts of it.
  Milliseconds callTimeout{ 2000 };
  Milliseconds retryAfter{ 1000 }; ///< Default if a failed call's response has no Retry-After.
  std::size_t maxBodyBytes = 32'000'000; ///< Longer responses are rejected.
  std::size_t maxIdleHandles = 8;        ///< Idle handles kept, each with its open connections.
  Seconds maxConnectionAge{ 60 };        ///< Connections idle for longer than this are not reused.
};

} // namespace lagoonward
