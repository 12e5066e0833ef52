#pragma once

#include <chrono>
#include <string>

namespace lagoonward::standins {

/// Result of Fetch().
struct HttpAnswer
{
  long status = 0; ///< Zero if there was no response.
  std::string body;
  std::chrono::milliseconds retryAfter{ 0 }; ///< From `Retry-After`; zero if the header is missing.
};

/// Sends one request and blocks until the response is complete or the timeout expires.
[[nodiscard]] HttpAnswer
Fetch(const std::string& aMethod, const std::string& aUrl, const std::string& aBody,
      std::chrono::milliseconds aTimeout);

} // namespace lagoonward::standins
