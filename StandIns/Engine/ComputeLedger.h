#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace lagoonward::standins {

/// How far each request has been computed by any engine of this process. A position computed once
/// more counts as a recomputed token. Safe from any thread.
class ComputeLedger
{
public:
  /// Progress of one request: positions (prompt and answer) computed so far.
  class Progress
  {
  public:
    /// Notes that the positions [aFrom, aTo) were computed.
    /// @return how many of them had been computed before
    std::int64_t Compute(std::int64_t aFrom, std::int64_t aTo);

  private:
    std::mutex mutex;
    std::int64_t computed = 0;
  };

  /// The progress of the request, new where the request is.
  [[nodiscard]] std::shared_ptr<Progress> Of(const std::string& aRequestId);

private:
  std::mutex mutex;
  std::unordered_map<std::string, std::shared_ptr<Progress>> requests;
  std::deque<std::string> order; ///< Oldest first.
};

} // namespace lagoonward::standins
