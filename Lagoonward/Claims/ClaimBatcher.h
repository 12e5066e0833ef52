#pragma once

#include "Lagoonward/Claims/ClaimAnswer.h"
#include "Lagoonward/Claims/ClaimSettings.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <condition_variable>

namespace lagoonward {

/// Groups the claims of one shard into appends and settles them by the log's order. Any number of
/// daemons may run a batcher for the same shard: it decides nothing, it only reads who was first.
///
/// An append whose answer is lost is settled by reading for its own record, and repeated while that is
/// not there; a second copy changes nothing. During an outage claims are refused at once, and while the
/// stream is being read for the first time they are passed on as Unreachable, so that the claimant asks
/// a daemon that has read it.
///
/// Step() is called by one thread in a loop; the other functions are safe from any thread.
class ClaimBatcher
{
public:
  /// Counters for metrics.
  struct Counters
  {
    std::uint64_t appends = 0; ///< Tried, repeated ones included.
    std::uint64_t claims = 0;  ///< Written, in records that took effect.
    std::uint64_t reads = 0;
  };

  /// All references must outlive the batcher.
  /// @param aIncarnation  of this run of this daemon; the batcher adds its stream
  ClaimBatcher(std::string aStream, std::string_view aIncarnation, const ClaimSettings& aSettings,
               LogService& aLog, const Clock& aClock);

  /// Queues a claim. aCallback is called once, by the stepping thread, or by this call if the claim is
  /// refused at once.
  /// @param aDeadline  on the clock that counts suspension
  void Submit(Claim aClaim, TimePoint aDeadline, ClaimCallback aCallback);

  /// Queues an outcome; it travels with the next append and is kept through outages.
  void SubmitOutcome(ClaimOutcome aOutcome);

  /// One round: takes what is queued, appends it and settles it.
  /// @return how long to wait before the next round
  [[nodiscard]] Milliseconds Step();

  /// Waits for up to aSpan after a Step(); if that found nothing to do, only until something is queued.
  /// For the stepping thread.
  void WaitForWork(Milliseconds aSpan);

  /// Ends the current and every later WaitForWork() at once. For stopping.
  void WakeUp();

  /// Refuses every waiting claim, and later ones until a round succeeds. For the stepping thread, or
  /// once it has ended.
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
  /// The append that is being made.
  struct Batch
  {
    ClaimRecord record;
    std::string text;
    std::vector<Pending> claims; ///< Those not answered yet.
    bool tried = false;          ///< It may be in the log.
    bool seen = false;           ///< It was read there.
  };

  [[nodiscard]] bool TakeBatch();
  void ExpireBatch();
  void PassOnWhileCold();
  [[nodiscard]] Result<void> Advance();
  [[nodiscard]] Result<void> Prepare();
  [[nodiscard]] Result<void> Append();
  [[nodiscard]] Result<void> CatchUp();
  void ApplyPage(const LogPage& aPage);
  [[nodiscard]] bool AnyHeld() const;
  void AnswerHeld();
  void Settle();
  [[nodiscard]] Milliseconds NoteFailure(const Error& aError);
  [[nodiscard]] WallTime RecordTime() const;
  [[nodiscard]] std::optional<ClaimAnswer> RefusalNow() const;

  const std::string stream;
  const ClaimSettings& settings;
  LogService& log;
  const Clock& clock;

  // Used by Step() only
  ClaimLedger ledger;
  bool idle = false;   ///< Whether the last round found nothing to do.
  bool loaded = false; ///< Whether the stream was read to its end once.
  int pageLimit = 0;   ///< Records in the next read.
  RecordId nextId;     ///< Of the next record.
  std::optional<Batch> batch;
  TimePoint lastAppend; ///< When the last new record was first tried.
  int failures = 0;     ///< Failed rounds in a row.
  Backoff backoff;

  mutable std::mutex mutex; ///< Guards everything below.
  std::condition_variable wake;
  bool woken = false;
  std::deque<Pending> queue;
  std::deque<ClaimOutcome> outcomes;
  std::optional<Milliseconds> outage; ///< Set while the log is away: when callers should come back.
  Counters counters;
};

} // namespace lagoonward
