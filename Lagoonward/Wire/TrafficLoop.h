#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/UniqueFd.h"
#include "Lagoonward/Wire/HttpTransfer.h"
#include "Lagoonward/Wire/IdleSockets.h"

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

/// An event loop on its own thread, based on epoll and libcurl, that runs outgoing HTTP transfers, timers and posted
/// tasks. All work of one request runs on one loop, so that its state needs no locks. Post() is thread-safe; transfers
/// and timers may be used on the loop's thread only.
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

  /// Stops the thread. Open transfers are dropped without a callback. May be called twice.
  void Stop();

  /// Runs the task on the loop's thread. Tasks run in the order of posting. Thread-safe.
  void Post(Task aTask);

  /// Runs the task once, after the delay.
  TimerId RunAfter(Milliseconds aDelay, Task aTask);

  /// Cancels a timer. Does nothing if it has run.
  void CancelTimer(TimerId aTimer);

  /// Starts a transfer. The observer receives its headers, its bytes and, exactly once, its end, always after
  /// this call has returned.
  /// @return the id for CancelTransfer()
  TransferId StartTransfer(const HttpTransferRequest& aRequest, HttpTransferObserver& aObserver);

  /// Starts a transfer whose result is ignored. The request must have a timeout.
  void StartDetachedTransfer(const HttpTransferRequest& aRequest);

  /// Cancels a transfer; its observer is not called again. Does nothing if the transfer has ended.
  void CancelTransfer(TransferId aTransfer);

  /// Ends a transfer whose response is of no use, and closes its connection: the rest of the response must not be taken
  /// for the response to a later request. The observer receives OnEnd() with TransferOutcome::Stopped, soon and whether or
  /// not further bytes arrive, but not within this call. Does nothing if the transfer has ended.
  void StopTransfer(TransferId aTransfer);

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
  void HandleFinishedTransfers();
  void EndStoppedTransfers();
  /// Removes a transfer and calls its observer. Does nothing if it has ended.
  /// @param aResult  a CURLcode
  void EndTransfer(TransferId aTransfer, int aResult);
  void ApplyStartsAndCancels();
  void Wake() const;
  static int OnSocket(CURL* aEasy, curl_socket_t aSocket, int aWhat, void* aLoop,
                      void* aRegistered);
  static int OnTimer(CURLM* aMulti, long aMilliseconds, void* aLoop);

  const Clock& clock;
  HttpClientSettings settings;
  IdleSockets idleSockets; ///< Before `multi`, whose connections report to it when they are closed.
  std::unique_ptr<CURLM, MultiDeleter> multi;
  UniqueFd epoll;
  UniqueFd wakeup; ///< eventfd that Post() and Stop() write to.
  std::thread thread;

  std::mutex tasksMutex;
  std::vector<Task> tasks; ///< Guarded by tasksMutex.
  bool stopping = false;   ///< Guarded by tasksMutex.

  using TimerMap = std::multimap<TimePoint, std::pair<TimerId, Task>>;
  TimerMap timers;
  std::unordered_map<TimerId, TimerMap::iterator> timersById;
  TimerId nextTimer = 1;
  TimePoint curlTimeout = TimePoint::max(); ///< When libcurl's timeout is due; max for never.
  std::unordered_map<TransferId, std::unique_ptr<CurlTransfer>> transfers;
  std::vector<TransferId> pendingStarts;  ///< libcurl cannot add transfers in callbacks.
  std::vector<TransferId> pendingCancels; ///< Nor can it remove them there.
  std::vector<TransferId> pendingStops;   ///< See StopTransfer().
  TransferId nextTransfer = 1;
};

} // namespace lagoonward
