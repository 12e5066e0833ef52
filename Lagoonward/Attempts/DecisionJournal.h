#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/Log.h"

#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// One decision that was taken for a request.
struct Decision
{
  WallTime at;
  std::string text; ///< A short sentence.
};

/// Writes a log line for each decision and keeps the decisions of the latest requests, for
/// `/requests/{id}` and `lagoonward explain`. Safe from any thread.
class DecisionJournal
{
public:
  /// @param aMaximumRequests  requests that are remembered; the oldest go first
  DecisionJournal(std::size_t aMaximumRequests, const Clock& aClock);

  /// Notes a decision and logs it under the part's prefix.
  void Record(const Log& aLog, const std::string& aRequestId, std::string aText);

  /// The decisions for a request, oldest first. Empty when the request is not known.
  [[nodiscard]] std::vector<Decision> Find(const std::string& aRequestId) const;

private:
  std::size_t maximumRequests;
  const Clock& clock;
  mutable std::mutex mutex; ///< Guards all below.
  std::unordered_map<std::string, std::vector<Decision>> decisions;
  std::deque<std::string> order; ///< Requests in the order of their first decision.
};

} // namespace lagoonward
