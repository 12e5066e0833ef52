#pragma once

#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <deque>
#include <map>
#include <mutex>

namespace lagoonward::testing {

/// An in-memory log service with injectable faults. Reads never wait. Thread-safe.
class FakeLogService final : public LogService
{
public:
  /// Fault injected into one append.
  enum class Fault
  {
    None,
    Refused,    ///< Fails; the record is not stored.
    AnswerLost, ///< Fails, but the record is stored.
    Late,       ///< Fails; the record is stored at the next StoreLateAppends().
  };

  [[nodiscard]] Result<LogPosition> Append(std::string_view aStream,
                                           std::string_view aRecord) override;
  [[nodiscard]] Result<LogPage> Read(std::string_view aStream, Offset aFrom, int aLimit,
                                     Milliseconds aWait) override;

  /// Sets the faults of the next appends, in order; appends after them succeed.
  void FailAppends(std::vector<Fault> aFaults);

  /// While the service is down, every call fails without effect.
  void SetDown(bool aDown);

  /// While the service is unreadable, only reads fail.
  void SetUnreadable(bool aUnreadable);

  /// Stores the records of all late appends, in order.
  void StoreLateAppends();

  /// Drops all records below an offset.
  void Truncate(std::string_view aStream, Offset aStart);

  /// Keeps a copy of all streams for Restore().
  void Copy();

  /// Goes back to the copy: later records are lost, their offsets are given out again, and the epoch rises.
  void Restore();

  [[nodiscard]] Offset End(std::string_view aStream) const;

  /// Number of Read() calls so far, of all streams.
  [[nodiscard]] int Reads() const;

private:
  struct Stream
  {
    Offset start = 0;
    std::deque<std::string> records;
  };

  Offset Store(std::string_view aStream, std::string_view aRecord);

  mutable std::mutex mutex; ///< Guards everything below.
  std::map<std::string, Stream, std::less<>> streams;
  std::map<std::string, Stream, std::less<>> copy;
  std::int64_t epoch = 0;
  std::deque<Fault> faults;
  std::vector<std::pair<std::string, std::string>>
    lateAppends; ///< Stream and record, not yet stored.
  int reads = 0;
  bool down = false;
  bool unreadable = false;
};

} // namespace lagoonward::testing
