#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace lagoonward::standins {

/// Runs delayed functions in order of their due time on a dedicated thread. Functions must return quickly,
/// because they delay all others. After() is thread-safe.
class Scheduler
{
public:
  Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;
  ~Scheduler();

  /// Runs aFunction on the scheduler's thread after aDelay; as soon as possible if aDelay is zero or negative.
  void After(std::chrono::milliseconds aDelay, std::function<void()> aFunction);

  /// Discards pending functions and joins the thread. Must not be called from a scheduled function.
  void Stop();

private:
  using Time = std::chrono::steady_clock::time_point;

  void Run();

  std::mutex mutex;
  std::condition_variable changed;
  std::multimap<Time, std::function<void()>> pending;
  bool stopping = false;
  std::thread thread;
};

} // namespace lagoonward::standins
