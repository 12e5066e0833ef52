#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Core/UniqueFd.h"

#include <atomic>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace lagoonward {

class ControlLoop;

/// Posts tasks to a control loop that may have been destroyed by then. Safe from any thread.
class LoopHandle
{
public:
  explicit LoopHandle(ControlLoop& aLoop);

  /// Queues a task to run on the loop. @return false if the loop has been destroyed
  bool Post(std::function<void()> aTask);

  /// Called by the loop's destructor.
  void Detach();

private:
  std::mutex mutex;
  ControlLoop* loop; ///< Guarded by mutex; null once the loop is destroyed.
};

/// The control thread: one epoll loop with timers and a queue of posted tasks. All control state is
/// accessed on this thread only. Post(), IsInLoop() and CpuTime() are safe from any thread; the other
/// methods are called on the loop, or before Start().
class ControlLoop
{
public:
  using Task = std::function<void()>;
  using DescriptorHandler = std::function<void(std::uint32_t aEvents)>;
  using TimerId = std::uint64_t;

  /// @param aClock  clock of the timers; must advance by itself
  explicit ControlLoop(const Clock& aClock);
  ~ControlLoop();

  /// Starts the thread.
  [[nodiscard]] Result<void> Start();

  /// Stops the thread after the current task. Tasks still queued are dropped. Safe to call twice.
  void Stop();

  /// Queues a task to run on the loop, in the order of posting.
  void Post(Task aTask);

  /// Posts a task and waits until it has run. Runs it directly when called on the loop, or
  /// when no thread runs. Returns without having run it if the loop stops meanwhile.
  void Run(const Task& aTask);

  /// Runs a task once after a delay.
  TimerId After(Milliseconds aDelay, Task aTask);

  /// Runs a task periodically, the first time after one interval.
  TimerId Every(Milliseconds aInterval, Task aTask);

  void Cancel(TimerId aTimer);

  /// Calls the handler when the descriptor is ready for one of the epoll events.
  [[nodiscard]] Result<void> Watch(int aDescriptor, std::uint32_t aEvents,
                                   DescriptorHandler aHandler);
  void ChangeEvents(int aDescriptor, std::uint32_t aEvents);
  void Unwatch(int aDescriptor);

  [[nodiscard]] bool IsInLoop() const;

  /// CPU time that the thread has used so far.
  [[nodiscard]] std::chrono::nanoseconds CpuTime() const;

  /// For callbacks that may be invoked after the loop is destroyed.
  [[nodiscard]] const std::shared_ptr<LoopHandle>& Handle() const;

private:
  struct Timer
  {
    TimerId id = 0;
    Milliseconds interval{ 0 }; ///< Zero for a timer that fires once.
    Task task;
  };

  void Loop();
  void RunPosted();
  void RunTimers();
  [[nodiscard]] int WaitMilliseconds() const;
  TimerId AddTimer(Milliseconds aDelay, Milliseconds aInterval, Task aTask);
  void Wake();

  const Clock& clock;
  UniqueFd poller;
  UniqueFd wakeUp; ///< eventfd that interrupts the wait.
  std::thread thread;
  std::atomic<std::thread::id> threadId{};
  std::atomic<clockid_t> cpuClock{ CLOCK_THREAD_CPUTIME_ID };
  std::atomic<bool> running{ false };
  std::atomic<bool> joinable{ false }; ///< From Start() to the end of Stop().
  std::mutex postedMutex;
  std::vector<Task> posted; ///< Guarded by postedMutex.
  std::multimap<TimePoint, Timer> timers;
  std::map<TimerId, TimePoint> timerDue;
  TimerId nextTimer = 1;
  std::unordered_map<int, std::shared_ptr<DescriptorHandler>> handlers;
  std::shared_ptr<LoopHandle> handle;
};

} // namespace lagoonward
