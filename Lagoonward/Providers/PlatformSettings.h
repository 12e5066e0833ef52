#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstddef>

namespace lagoonward {

/// Tunables of the adapters to the platform's services.
struct PlatformSettings
{
  Milliseconds connectTimeout{ 1000 };   ///< For a new connection.
  Milliseconds callTimeout{ 2000 };      ///< Silence after which a call counts as unanswered.
  Milliseconds retryAfter{ 1000 };       ///< When a refusal does not say when to come back.
  std::size_t maxBodyBytes = 32'000'000; ///< Longer answers are refused.
  std::size_t maxIdleHandles = 8;        ///< Handles kept, each with its open connections.
  Seconds maxConnectionAge{ 60 };        ///< Idle connections older than this are not reused.
};

} // namespace lagoonward
