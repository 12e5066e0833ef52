#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace lagoonward::standins {

/// Records up to which position the answer to each question has been computed by any engine of this
/// process. Computing a position again counts as a recomputed token, regardless of the request id: a
/// daemon that takes over a request of a terminated daemon gives it a new id. Thread-safe.
class ComputeLedger
{
public:
  /// Progress of one answer: number of positions (prompt and answer) computed so far.
  class Progress
  {
  public:
    /// Records that the positions [aFrom, aTo) were computed.
    /// @return how many of them had been computed before
    std::int64_t MarkComputed(std::int64_t aFrom, std::int64_t aTo);

  private:
    std::mutex mutex;
    std::int64_t computed = 0;
  };

  /// The progress of the answer with this AnswerKey(); created if the question is new.
  [[nodiscard]] std::shared_ptr<Progress> ProgressFor(std::uint64_t aAnswerKey);

private:
  std::mutex mutex;
  std::unordered_map<std::uint64_t, std::shared_ptr<Progress>> answers;
  std::deque<std::uint64_t> insertionOrder; ///< Oldest first.
};

} // namespace lagoonward::standins
