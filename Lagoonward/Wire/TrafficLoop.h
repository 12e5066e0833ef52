#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/UniqueFd.h"
#include "Lagoonward/Wire/HttpTransfer.h"

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace lagoonward {

struct CurlTransfer;

/// One traffic thread: an epoll loop that runs outgoing HTTP transfers, timers and posted tasks.
/// Everything that belongs to one request stays on one loop, so that its state needs no locks.
/// Only Post() may be called from other threads.
class TrafficLoop
{
public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;

  TrafficLoop(const Clock& aClock, const HttpClientSettings& aSettings);
  ~TrafficLoop();
  TrafficLoop(const TrafficLoop&) = delete;
  TrafficLoop& operator=(const TrafficLoop&) = delete;

  /// Starts the thread.
  void Start();

  /// Ends the thread; transfers still open are dropped without a callback. Safe to call twice.
  void Stop();

  /// Runs the task on the loop, in the order of posting. Safe from any thread.
  void Post(Task aTask);

  /// Runs the task once after the delay.
  TimerId RunAfter(Milliseconds aDelay, Task aTask);

  /// Forgets a timer. Does nothing when it has run.
  void CancelTimer(TimerId aTimer);

  /// Starts a transfer. The observer hears of its headers, its bytes and, exactly once, its end;
  /// never before this call has returned.
  /// @return a number for CancelTransfer()
  TransferId StartTransfer(const HttpTransferRequest& aRequest, HttpTransferObserver& aObserver);

  /// Starts a transfer whose result nobody waits for. The request must carry a timeout.
  void StartDetachedTransfer(const HttpTransferRequest& aRequest);

  /// Ends a transfer; its observer hears no more of it. Does nothing when it has ended.
  void CancelTransfer(TransferId aTransfer);

  [[nodiscard]] const Clock& GetClock() const;

private:
  struct MultiDeleter
  {
    void operator()(CURLM* aMulti) const;
  };

  TransferId AddTransfer(const HttpTransferRequest& aRequest, HttpTransferObserver* aObserver);
  void Run();
  void WaitAndDispatch();
  [[nodiscard]] int NextWaitMilliseconds() const;
  void RunDueTimers();
  void RunPostedTasks();
  void CollectFinished();
  void ApplyStartsAndCancels();
  void Wake() const;
  static int OnSocket(CURL* aEasy, curl_socket_t aSocket, int aWhat, void* aLoop, void* aKnown);
  static int OnTimer(CURLM* aMulti, long aMilliseconds, void* aLoop);

  const Clock& clock;
  HttpClientSettings settings;
  std::unique_ptr<CURLM, MultiDeleter> multi;
  UniqueFd epoll;
  UniqueFd wakeup; ///< eventfd that Post() writes to.
  std::thread thread;

  std::mutex tasksMutex;
  std::vector<Task> tasks; ///< Guarded by tasksMutex.
  bool stopping = false;   ///< Guarded by tasksMutex.

  using TimerMap = std::multimap<TimePoint, std::pair<TimerId, Task>>;
  TimerMap timers;
  std::unordered_map<TimerId, TimerMap::iterator> timersById;
  TimerId nextTimer = 1;
  TimePoint libraryTimer = TimePoint::max(); ///< When libcurl wants to be called; max for never.
  std::unordered_map<TransferId, std::unique_ptr<CurlTransfer>> transfers;
  std::vector<TransferId> toStart;  ///< libcurl takes no new transfer inside its callbacks.
  std::vector<TransferId> toCancel; ///< Nor does it let one go there.
  TransferId nextTransfer = 1;
};

} // namespace lagoonward
