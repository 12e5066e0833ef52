#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstddef>

namespace lagoonward {

/// What a client may send to a server, and how long it may take.
struct HttpLimits
{
  /// Size of a request's header lines; zero for as much as the connection's memory holds.
  std::size_t maximumHeaderBytes = 0;
  std::size_t maximumBodyBytes = 4U << 20U;
  Milliseconds headTimeout{ 30'000 };  ///< From the end of the request line to the end of the head.
  Milliseconds bodyTimeout{ 300'000 }; ///< From the end of the head to the end of the body.
  /// Longest silence while a request is received or sent, and between two requests.
  Milliseconds idleTimeout{ 30'000 };
};

} // namespace lagoonward
