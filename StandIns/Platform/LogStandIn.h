#pragma once

#include "StandIns/Faults.h"
#include "StandIns/Platform/RateLimit.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// Settings of the log service.
struct LogSettings
{
  double appendsPerSecond = 300;   ///< Over all streams; further appends get status 429.
  std::size_t maxRecords = 100000; ///< Per stream.
  std::chrono::milliseconds retention{ 600000 }; ///< Older records are dropped.
  std::size_t maxRecordBytes = std::size_t{ 1 } << 20U;
  std::chrono::milliseconds maxWait{ 30000 }; ///< Maximum duration of a long poll.
};

/// Simulated append-only log of the platform: streams of records with offsets from 0, limited retention
/// and limited append rate. Thread-safe.
class LogStandIn
{
public:
  using Exchange = Faults::Exchange;

  LogStandIn(const LogSettings& aSettings, Scheduler& aScheduler);

  /// `POST /streams/{name}`.
  void Append(const Exchange& aExchange, const std::string& aName);

  /// `GET /streams/{name}?from=N&limit=M&wait_ms=T`.
  void Read(const Exchange& aExchange, const std::string& aName);

  /// Drops all records of a stream before the offset, as if their retention had expired.
  void DropBefore(const std::string& aName, std::int64_t aOffset);

  /// JSON text with the numbers of appends accepted and refused because of the rate limit.
  [[nodiscard]] std::string Stats();

private:
  struct Record
  {
    std::string data;
    std::chrono::steady_clock::time_point at;
  };

  /// A long poll that waits for the stream's next record.
  struct Waiter
  {
    std::int64_t id = 0;
    Exchange exchange;
    std::int64_t from = 0;
    std::int64_t limit = 0;
  };

  struct Stream
  {
    std::int64_t start = 0;
    std::deque<Record> records;
    std::vector<Waiter> waiters;
  };

  void Expire(Stream& aStream) const;
  [[nodiscard]] static std::string BuildPage(const Stream& aStream, std::int64_t aFrom,
                                             std::int64_t aLimit);
  void CompleteTimedOutRead(const std::string& aName, std::int64_t aWaiter);

  const LogSettings settings;
  Scheduler& scheduler;
  std::mutex mutex;
  RateLimit appendRate;
  std::map<std::string, Stream> streams;
  std::int64_t nextWaiter = 0;
  std::int64_t appends = 0;
  std::int64_t refused = 0;
};

} // namespace lagoonward::standins
