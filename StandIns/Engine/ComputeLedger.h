#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace lagoonward::standins {

/// How far the answer to each question has been computed by any engine of this process. A position
/// computed once more counts as a recomputed token, under whatever request id it is asked for: a
/// daemon that takes over a dead one's request gives it a new id. Safe from any thread.
class ComputeLedger
{
public:
  /// Progress of one answer: positions (prompt and answer) computed so far.
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

  /// The progress of the answer with this AnswerKey(), new where the question is.
  [[nodiscard]] std::shared_ptr<Progress> Of(std::uint64_t aAnswerKey);

private:
  std::mutex mutex;
  std::unordered_map<std::uint64_t, std::shared_ptr<Progress>> answers;
  std::deque<std::uint64_t> order; ///< Oldest first.
};

} // namespace lagoonward::standins
