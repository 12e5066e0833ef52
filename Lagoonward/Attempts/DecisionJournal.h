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

/// One decision about a request.
struct Decision
{
  WallTime at;
  std::string text; ///< A short sentence.
};

/// Writes a log line for each decision and stores the decisions of the most recent requests, for `/requests/{id}` and
/// `lagoonward explain`. Thread-safe.
class DecisionJournal
{
public:
  /// @param aMaximumRequests  number of requests to store; the oldest is evicted first
  DecisionJournal(std::size_t aMaximumRequests, const Clock& aClock);

  /// Stores a decision and logs it under the prefix of aLog.
  void Record(const Log& aLog, const std::string& aRequestId, std::string aText);

  /// The decisions about a request, oldest first. Empty if the request is not stored.
  [[nodiscard]] std::vector<Decision> Find(const std::string& aRequestId) const;

private:
  std::size_t maximumRequests;
  const Clock& clock;
  mutable std::mutex mutex; ///< Guards all below.
  std::unordered_map<std::string, std::vector<Decision>> decisions;
  std::deque<std::string> order; ///< Requests in the order of their first decision.
};

} // namespace lagoonward
