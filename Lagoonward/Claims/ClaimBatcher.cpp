#include "Lagoonward/Claims/ClaimBatcher.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/Log.h"

#include <algorithm>

namespace lagoonward {

namespace {

using Verdict = ClaimAnswer::Verdict;

constexpr int kMinimumPageLimit = 16;
const Log kLog("claims");

ClaimAnswer
Unavailable(bool aMaybeRecorded, Milliseconds aRetryAfter = Milliseconds(1000))
{
  ClaimAnswer answer;
  answer.maybeRecorded = aMaybeRecorded;
  answer.retryAfter = aRetryAfter;
  return answer;
}

} // namespace

ClaimBatcher::ClaimBatcher(std::string aStream, std::string_view aIncarnation,
                           const ClaimSettings& aSettings, LogService& aLog, const Clock& aClock)
  : stream(std::move(aStream))
  , settings(aSettings)
  , log(aLog)
  , clock(aClock)
  , ledger(aSettings.keyLifetime)
  , pageLimit(aSettings.pageLimit)
  , nextId{ std::string(aIncarnation) + "/" + this->stream, 0 }
  , lastAppend(aClock.Now() - aSettings.flushInterval)
  , backoff(aSettings.backoff, HashBytes(this->nextId.incarnation))
{
}

void
ClaimBatcher::Submit(Claim aClaim, TimePoint aDeadline, ClaimCallback aCallback)
{
  Pending pending{ std::move(aClaim), this->clock.BootNow(), aDeadline, std::move(aCallback) };
  std::unique_lock lock(this->mutex);
  if (const auto refusal = this->ImmediateRefusal()) {
    lock.unlock();
    pending.callback(*refusal);
    return;
  }
  this->queue.push_back(std::move(pending));
  lock.unlock();
  this->wake.notify_one();
}

std::optional<ClaimAnswer>
ClaimBatcher::ImmediateRefusal() const
{
  if (this->outageRetryAfter) {
    return Unavailable(false, *this->outageRetryAfter);
  }
  if (this->queue.size() >= this->settings.maxQueuedClaims) {
    return Unavailable(false);
  }
  return std::nullopt;
}

void
ClaimBatcher::SubmitOutcome(ClaimOutcome aOutcome)
{
  {
    const std::lock_guard lock(this->mutex);
    if (this->outcomes.size() >= this->settings.maxQueuedOutcomes) {
      kLog.Warning("{}: the outcome queue is full; dropped an outcome of claim {}.", this->stream,
                   ToString(aOutcome.id));
      return;
    }
    this->outcomes.push_back(std::move(aOutcome));
  }
  this->wake.notify_one();
}

Milliseconds
ClaimBatcher::Step()
{
  // Space the appends out, so that one shard stays within its share of the log's request budget
  const auto sinceAppend = this->clock.Now() - this->lastAppend;
  const auto untilFlush =
    std::chrono::duration_cast<Milliseconds>(this->settings.flushInterval - sinceAppend);
  this->idle = false;
  if (!this->batch && untilFlush.count() > 0) {
    return untilFlush;
  }
  this->ExpireBatch();
  if (!this->batch && !this->TakeBatch()) {
    this->idle = true;
    this->ledger.RemoveExpired(this->clock.WallNow());
    return this->settings.idleWait;
  }
  const auto advanced = this->Advance();
  if (!advanced) {
    return this->HandleFailure(advanced.error());
  }
  this->failures = 0;
  this->backoff.Reset();
  const std::lock_guard lock(this->mutex);
  this->outageRetryAfter.reset();
  return Milliseconds(0);
}

void
ClaimBatcher::WaitForWork(Milliseconds aTimeout)
{
  std::unique_lock lock(this->mutex);
  this->wake.wait_for(lock, aTimeout, [this] {
    const bool hasWork = !this->queue.empty() || !this->outcomes.empty();
    return this->wakeRequested || (this->idle && hasWork);
  });
}

void
ClaimBatcher::WakeUp()
{
  {
    const std::lock_guard lock(this->mutex);
    this->wakeRequested = true;
  }
  this->wake.notify_all();
}

ClaimBatcher::Counters
ClaimBatcher::GetCounters() const
{
  const std::lock_guard lock(this->mutex);
  return this->counters;
}

bool
ClaimBatcher::TakeBatch()
{
  Batch taken;
  {
    const std::lock_guard lock(this->mutex);
    while (!this->queue.empty() && taken.claims.size() < this->settings.maxClaimsPerRecord) {
      taken.claims.push_back(std::move(this->queue.front()));
      this->queue.pop_front();
    }
    while (!this->outcomes.empty() &&
           taken.record.outcomes.size() < this->settings.maxClaimsPerRecord) {
      taken.record.outcomes.push_back(std::move(this->outcomes.front()));
      this->outcomes.pop_front();
    }

    // An outage ends only when a round succeeds, so keep probing the log
    if (taken.claims.empty() && taken.record.outcomes.empty() && !this->outageRetryAfter) {
      return false;
    }
  }
  this->batch = std::move(taken);
  this->ExpireBatch();
  return this->batch.has_value();
}

void
ClaimBatcher::ExpireBatch()
{
  if (!this->batch) {
    return;
  }
  const auto now = this->clock.BootNow();
  std::vector<Pending> alive;
  for (Pending& pending : this->batch->claims) {
    if (pending.deadline > now) {
      alive.push_back(std::move(pending));
    } else {
      pending.callback(Unavailable(this->batch->appendAttempted));
    }
  }
  this->batch->claims = std::move(alive);

  // No caller waits for the record any more, and it contains no outcome that must be written
  if (this->batch->appendAttempted && this->batch->claims.empty() &&
      this->batch->record.outcomes.empty()) {
    this->batch.reset();
  }
}

void
ClaimBatcher::RedirectWhileLoading()
{
  if (this->loaded) {
    return;
  }
  const auto oldestAllowed = this->clock.BootNow() - this->settings.coldLoadTimeout;
  std::vector<Pending> redirected;
  const auto extractExpired = [&](auto& aPendings) {
    const auto isWithinTimeout = [&](const Pending& aPending) {
      return aPending.submitted > oldestAllowed;
    };
    const auto first = std::stable_partition(aPendings.begin(), aPendings.end(), isWithinTimeout);
    std::move(first, aPendings.end(), std::back_inserter(redirected));
    aPendings.erase(first, aPendings.end());
  };
  if (this->batch) {
    extractExpired(this->batch->claims);
  }
  {
    const std::lock_guard lock(this->mutex);
    extractExpired(this->queue);
  }
  for (const Pending& pending : redirected) {
    ClaimAnswer answer;
    answer.verdict = Verdict::Unreachable;
    pending.callback(answer);
  }
}

Result<void>
ClaimBatcher::Advance()
{
  if (!this->batch->appendAttempted) {
    if (auto prepared = this->Prepare(); !prepared) {
      return prepared;
    }
    if (this->batch->claims.empty() && this->batch->record.outcomes.empty()) {
      this->batch.reset();
      return boost::outcome_v2::success();
    }
  } else if (auto caughtUp = this->CatchUp(); !caughtUp) {
    return caughtUp;
  }
  if (!this->batch->inLog) {
    if (auto appended = this->Append(); !appended) {
      return appended;
    }
  }
  this->Settle();
  return boost::outcome_v2::success();
}

Result<void>
ClaimBatcher::Prepare()
{
  // A held key may have been freed since the last read, so read again before refusing its claim
  const bool isProbing = this->failures > 0;
  if (!this->loaded || isProbing || this->AnyKeyHeld()) {
    if (auto caughtUp = this->CatchUp(); !caughtUp) {
      return caughtUp;
    }
    this->loaded = true;
  }
  this->AnswerHeldKeys();
  ClaimRecord& record = this->batch->record;
  record.author = this->nextId;
  record.at = this->RecordTime();
  for (const Pending& pending : this->batch->claims) {
    record.claims.push_back(pending.claim);
  }
  this->batch->text = WriteClaimRecord(record);
  return boost::outcome_v2::success();
}

Result<void>
ClaimBatcher::Append()
{
  if (!this->batch->appendAttempted) {
    ++this->nextId.sequence;
    this->lastAppend = this->clock.Now();
  }
  this->batch->appendAttempted = true;
  const auto offset = this->log.Append(this->stream, this->batch->text);
  {
    const std::lock_guard lock(this->mutex);
    ++this->counters.appends;
  }

  // Offsets only increase: if our offset is the next unread one, no other record precedes it
  if (offset && offset.value().offset == this->ledger.NextOffset()) {
    this->ledger.Fold(offset.value().offset, this->batch->record);
    this->batch->inLog = true;
    return boost::outcome_v2::success();
  }
  if (auto caughtUp = this->CatchUp(); !caughtUp) {
    return caughtUp;
  }
  if (!this->batch->inLog) {
    return offset ? Error(ErrorKind::PlatformUnavailable,
                          "the log confirmed an append, but the record could not be read back yet")
                  : offset.error();
  }
  return boost::outcome_v2::success();
}

Result<void>
ClaimBatcher::CatchUp()
{
  Offset end = kNoOffset;
  while (true) {
    const auto page =
      this->log.Read(this->stream, this->ledger.NextOffset(), this->pageLimit, Milliseconds(0));
    {
      const std::lock_guard lock(this->mutex);
      ++this->counters.reads;
    }
    // The response may be too large if the page holds very large records, so request fewer
    if (!page) {
      this->pageLimit = std::max(kMinimumPageLimit, this->pageLimit / 2);
      this->RedirectWhileLoading();
      return page.error();
    }
    this->pageLimit = std::min(this->settings.pageLimit, this->pageLimit * 2);

    // Read only up to the end reported by the first page; otherwise the loop would not terminate on a busy stream
    end = end == kNoOffset ? page.value().end : end;
    this->ApplyPage(page.value());
    if (page.value().records.empty() || this->ledger.NextOffset() >= end) {
      break;
    }
    this->RedirectWhileLoading();
  }
  return boost::outcome_v2::success();
}

void
ClaimBatcher::ApplyPage(const LogPage& aPage)
{
  const auto report = this->ledger.ObserveStart(aPage.start, this->clock.WallNow());
  if (report.retentionTooShort) {
    kLog.Error(
      "{}: the log's retention is shorter than the key lifetime of {} ms; a key may be used "
      "twice.",
      this->stream, this->settings.keyLifetime.count());
  }
  if (report.skipped > 0 && this->loaded) {
    kLog.Warning("{}: {} records were removed by the log's retention before they were read.",
                 this->stream, report.skipped);
  }
  for (const LogRecord& record : aPage.records) {
    const auto applied = this->ledger.Apply(record.offset, record.data);
    if (!applied.faults.IsEmpty()) {
      kLog.Warning("{}: skipped an invalid record at offset {}: {}.", this->stream, record.offset,
                   DescribeFaults(applied.faults));
    }
    if (this->batch && this->batch->appendAttempted &&
        applied.author == this->batch->record.author) {
      this->batch->inLog = true;
    }
  }
}

bool
ClaimBatcher::AnyKeyHeld() const
{
  const auto now = this->clock.WallNow();
  return std::any_of(
    this->batch->claims.begin(), this->batch->claims.end(), [&](const Pending& aPending) {
      return this->ledger.Find(aPending.claim.key, now) || this->ledger.IsVoid(aPending.claim.id);
    });
}

void
ClaimBatcher::AnswerHeldKeys()
{
  const auto now = this->clock.WallNow();
  std::vector<Pending> open;
  for (Pending& pending : this->batch->claims) {
    const auto holder = this->ledger.Find(pending.claim.key, now);
    if (this->ledger.IsVoid(pending.claim.id)) {
      pending.callback(Unavailable(true));
    } else if (!holder) {
      open.push_back(std::move(pending));
    } else {
      const bool isOwn = holder->id == pending.claim.id;
      pending.callback({ isOwn ? Verdict::Won : Verdict::Lost, *holder, true });
    }
  }
  this->batch->claims = std::move(open);
}

void
ClaimBatcher::Settle()
{
  {
    const std::lock_guard lock(this->mutex);
    this->counters.claims += this->batch->record.claims.size();
  }

  // A claim still without a holder was withdrawn in the meantime
  this->AnswerHeldKeys();
  for (const Pending& pending : this->batch->claims) {
    pending.callback(Unavailable(true));
  }
  this->batch.reset();
}

Milliseconds
ClaimBatcher::HandleFailure(const Error& aError)
{
  const auto delay = this->backoff.Next(aError);
  ++this->failures;
  kLog.Warning("{}: failed round {} on the log ({}); retrying in {} ms.", this->stream,
               this->failures, aError.message, delay.count());
  if (this->failures >= this->settings.failuresUntilOutage) {
    this->RefuseAll(delay);
  }
  return delay;
}

void
ClaimBatcher::RefuseAll(Milliseconds aRetryAfter)
{
  std::deque<Pending> refused;
  {
    const std::lock_guard lock(this->mutex);
    this->outageRetryAfter = aRetryAfter;
    refused.swap(this->queue);

    // Requeue the batch's outcomes so that they are not lost; writing an outcome twice has no effect
    if (this->batch) {
      auto& kept = this->batch->record.outcomes;
      this->outcomes.insert(this->outcomes.begin(), kept.begin(), kept.end());
    }
  }
  for (const Pending& pending : refused) {
    pending.callback(Unavailable(false, aRetryAfter));
  }
  if (this->batch) {
    for (const Pending& pending : this->batch->claims) {
      pending.callback(Unavailable(this->batch->appendAttempted, aRetryAfter));
    }
    this->batch.reset();
  }
}

WallTime
ClaimBatcher::RecordTime() const
{
  return std::max(this->clock.WallNow(), this->ledger.LatestTime());
}

} // namespace lagoonward
