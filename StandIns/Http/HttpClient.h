#pragma once

#include <chrono>
#include <string>

namespace lagoonward::standins {

/// What came back from Fetch().
struct HttpAnswer
{
  long status = 0; ///< Zero when there was no answer.
  std::string body;
  std::chrono::milliseconds retryAfter{ 0 }; ///< From `Retry-After`; zero without one.
};

/// One blocking request.
[[nodiscard]] HttpAnswer
Fetch(const std::string& aMethod, const std::string& aUrl, const std::string& aBody,
      std::chrono::milliseconds aTimeout);

} // namespace lagoonward::standins
