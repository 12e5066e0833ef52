#pragma once

#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Wire/TrafficLoop.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonward::bench {

/// Parameters of a load.
struct Load
{
  HttpTransferRequest request;
  std::string expectedTail; ///< Last bytes of a complete response; empty to accept any.
  int concurrency = 1;      ///< Maximum number of concurrent requests.
  int total = 1;            ///< Total number of requests.
};

/// Results of a load.
struct LoadReport
{
  int completed = 0; ///< Completed with status 200 and the expected last bytes.
  int failed = 0;
  /// Milliseconds from the start of a request to its first body byte.
  std::vector<double> firstByte;
  std::string firstFailure; ///< Description of the first failure; empty if there was none.
};

/// Closed-loop HTTP load generator. Sends requests on its own threads and starts the next one when a request has ended.
/// Begin() and Finish() must not be called concurrently.
class LoadClient
{
public:
  /// @param aThreads  at least one
  explicit LoadClient(unsigned aThreads);
  ~LoadClient();
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;

  /// Starts a load. The previous load must have ended.
  void Begin(const Load& aLoad);

  /// Waits until aCount requests have received their first byte or failed.
  void WaitForFirstBytes(int aCount);

  /// Waits until all requests have ended.
  [[nodiscard]] LoadReport Finish();

private:
  class Request;

  void StartNext(TrafficLoop& aLoop);
  void OnFirstByte(double aMilliseconds);
  void OnEnded(Request& aRequest, bool aCompleted, const std::string& aFailure);

  SystemClock clock;
  std::vector<std::unique_ptr<TrafficLoop>> loops;
  Load load;
  std::mutex mutex; ///< Guards all members below.
  std::condition_variable reportChanged;
  /// Requests of this load; retained until the next one begins.
  std::vector<std::unique_ptr<Request>> requests;
  LoadReport report;
};

} // namespace lagoonward::bench
