#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace lagoonward::standins {

/// Runs functions later, on one thread of its own, in order of their time. Functions must be short.
class Scheduler
{
public:
  Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;
  ~Scheduler();

  /// Runs aFunction after aDelay; at once on the scheduler's thread where that is zero or less.
  void After(std::chrono::milliseconds aDelay, std::function<void()> aFunction);

  /// Drops what has not run and ends the thread. Not from one of the functions.
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
