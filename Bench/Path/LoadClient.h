#pragma once

#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonward::bench {

/// What is sent again and again.
struct Load
{
  HttpTransferRequest request;
  std::string tail;    ///< How a whole answer ends; empty for any end.
  int concurrency = 1; ///< Requests that are open at once.
  int total = 1;       ///< Requests in all.
};

/// What came of a load.
struct LoadReport
{
  int whole = 0;
  int failed = 0;
  std::vector<double> firstByte; ///< Milliseconds from the start of each to its first body byte.
  std::string firstFailure;      ///< Of the first that failed; empty when none did.
};

/// Sends requests on threads of its own, each next one when an earlier one has ended.
class LoadClient
{
public:
  /// @param aThreads  at least one
  explicit LoadClient(unsigned aThreads);
  ~LoadClient();
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;

  /// Starts a load. The one before must have ended.
  void Begin(const Load& aLoad);

  /// Waits until so many requests have got their first byte or failed.
  void WaitForFirstBytes(int aCount);

  /// Waits until all requests have ended.
  [[nodiscard]] LoadReport Finish();

private:
  class Request;

  void StartNext(TrafficLoop& aLoop);
  void OnFirstByte(double aMilliseconds);
  void OnEnded(Request& aRequest, bool aWhole, const std::string& aFailure);

  SystemClock clock;
  std::vector<std::unique_ptr<TrafficLoop>> loops;
  Load load;
  std::mutex mutex; ///< Guards all below.
  std::condition_variable changed;
  std::vector<std::unique_ptr<Request>> requests; ///< Of this load; kept until it has ended.
  LoadReport report;
};

} // namespace lagoonward::bench
