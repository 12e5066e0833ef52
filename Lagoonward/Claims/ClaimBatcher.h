#pragma once

#include "Lagoonward/Claims/ClaimAnswer.h"
#include "Lagoonward/Claims/ClaimSettings.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <condition_variable>

namespace lagoonward {

/// Groups the claims of one shard into appends and decides them by the order of the records in the log.
/// Any number of daemons may run a batcher for the same shard, because only the log's order decides which
/// claim is first.
///
/// If the response to an append is lost, the batcher reads the stream for its own record and repeats the
/// append until the record is found; a duplicate record has no effect. During a log outage claims are
/// refused immediately. While the stream is read for the first time, claims are answered with Unreachable,
/// so that the claimant asks a daemon that has already loaded the stream.
///
/// Step() is called by one thread in a loop; the other functions are safe from any thread.
class ClaimBatcher
{
public:
  /// Counters for metrics.
  struct Counters
  {
    std::uint64_t appends = 0; ///< Attempts, including repeated ones.
    std::uint64_t claims = 0;  ///< Claims in records that were confirmed to be in the log.
    std::uint64_t reads = 0;
  };

  /// All references must outlive the batcher.
  /// @param aIncarnation  identifies this run of this daemon; the batcher appends its stream name
  ClaimBatcher(std::string aStream, std::string_view aIncarnation, const ClaimSettings& aSettings,
               LogService& aLog, const Clock& aClock);

  /// Queues a claim. aCallback is called once: on the thread that calls Step(), or inside this call if the
  /// claim is refused immediately.
  /// @param aDeadline  on the boot clock, which includes time spent suspended
  void Submit(Claim aClaim, TimePoint aDeadline, ClaimCallback aCallback);

  /// Queues an outcome. It is written with the next append and stays queued during outages.
  void SubmitOutcome(ClaimOutcome aOutcome);

  /// Runs one round: takes the queued claims and outcomes, appends them and answers the claims.
  /// @return the delay before the next round
  [[nodiscard]] Milliseconds Step();

  /// Waits for up to aTimeout after a Step(). If that Step() found nothing to do, returns early as soon as
  /// something is queued. Called only by the thread that calls Step().
  void WaitForWork(Milliseconds aTimeout);

  /// Makes the current and every later WaitForWork() return immediately. Used at shutdown.
  void WakeUp();

  /// Refuses every waiting claim, and new ones until a round succeeds. Called by the thread that calls
  /// Step(), or after that thread has ended.
  void RefuseAll(Milliseconds aRetryAfter);

  [[nodiscard]] Counters GetCounters() const;

private:
  struct Pending
  {
    Claim claim;
    TimePoint submitted;
    TimePoint deadline;
    ClaimCallback callback;
  };
  /// The append in progress.
  struct Batch
  {
    ClaimRecord record;
    std::string text;
    std::vector<Pending> claims;  ///< Claims not answered yet.
    bool appendAttempted = false; ///< An append was sent, so the record may be in the log.
    bool inLog = false;           ///< The record is confirmed to be in the log.
  };

  [[nodiscard]] bool TakeBatch();
  void ExpireBatch();
  void RedirectWhileLoading();
  [[nodiscard]] Result<void> Advance();
  [[nodiscard]] Result<void> Prepare();
  [[nodiscard]] Result<void> Append();
  [[nodiscard]] Result<void> CatchUp();
  void ApplyPage(const LogPage& aPage);
  [[nodiscard]] bool AnyKeyHeld() const;
  void AnswerHeldKeys();
  void Settle();
  [[nodiscard]] Milliseconds HandleFailure(const Error& aError);
  [[nodiscard]] WallTime RecordTime() const;
  [[nodiscard]] std::optional<ClaimAnswer> ImmediateRefusal() const;

  const std::string stream;
  const ClaimSettings& settings;
  LogService& log;
  const Clock& clock;

  // Used by Step() only
  ClaimLedger ledger;
  bool idle = false;   ///< True if the last round found nothing to do.
  bool loaded = false; ///< True once the stream has been read to its end.
  int pageLimit = 0;   ///< Maximum number of records in the next read.
  RecordId nextId;     ///< Id of the next record.
  std::optional<Batch> batch;
  TimePoint lastAppend; ///< Time of the first append attempt of the latest record.
  int failures = 0;     ///< Consecutive failed rounds.
  Backoff backoff;

  mutable std::mutex mutex; ///< Guards everything below.
  std::condition_variable wake;
  bool wakeRequested = false;
  std::deque<Pending> queue;
  std::deque<ClaimOutcome> outcomes;
  std::optional<Milliseconds> outageRetryAfter; ///< For callers; set during a log outage.
  Counters counters;
};

} // namespace lagoonward
