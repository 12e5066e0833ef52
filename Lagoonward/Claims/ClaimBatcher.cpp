#include "Lagoonward/Claims/ClaimBatcher.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/Log.h"

#include <algorithm>

namespace lagoonward {

namespace {

using Verdict = ClaimAnswer::Verdict;

constexpr int kLeastPageLimit = 16;
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
  if (const auto refusal = this->RefusalNow()) {
    lock.unlock();
    pending.callback(*refusal);
    return;
  }
  this->queue.push_back(std::move(pending));
  lock.unlock();
  this->wake.notify_one();
}

std::optional<ClaimAnswer>
ClaimBatcher::RefusalNow() const
{
  if (this->outage) {
    return Unavailable(false, *this->outage);
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
      kLog.Warning("{}: dropped an outcome of claim {}.", this->stream, ToString(aOutcome.id));
      return;
    }
    this->outcomes.push_back(std::move(aOutcome));
  }
  this->wake.notify_one();
}

Milliseconds
ClaimBatcher::Step()
{
  // Keep appends apart, so that one shard stays within its share of the log's budget
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
    this->ledger.Forget(this->clock.WallNow());
    return this->settings.idleWait;
  }
  const auto advanced = this->Advance();
  if (!advanced) {
    return this->NoteFailure(advanced.error());
  }
  this->failures = 0;
  this->backoff.Reset();
  const std::lock_guard lock(this->mutex);
  this->outage.reset();
  return Milliseconds(0);
}

void
ClaimBatcher::WaitForWork(Milliseconds aSpan)
{
  std::unique_lock lock(this->mutex);
  this->wake.wait_for(lock, aSpan, [this] {
    const bool hasWork = !this->queue.empty() || !this->outcomes.empty();
    return this->woken || (this->idle && hasWork);
  });
}

void
ClaimBatcher::WakeUp()
{
  {
    const std::lock_guard lock(this->mutex);
    this->woken = true;
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

    // An outage ends only with a round that succeeds, so keep probing
    if (taken.claims.empty() && taken.record.outcomes.empty() && !this->outage) {
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
      pending.callback(Unavailable(this->batch->tried));
    }
  }
  this->batch->claims = std::move(alive);

  // Nobody waits for the record any more, and nothing in it has to get there
  if (this->batch->tried && this->batch->claims.empty() && this->batch->record.outcomes.empty()) {
    this->batch.reset();
  }
}

void
ClaimBatcher::PassOnWhileCold()
{
  if (this->loaded) {
    return;
  }
  const auto patienceEnd = this->clock.BootNow() - this->settings.coldPatience;
  std::vector<Pending> passedOn;
  const auto takeFrom = [&](auto& aPendings) {
    const auto isPatient = [&](const Pending& aPending) {
      return aPending.submitted > patienceEnd;
    };
    const auto first = std::stable_partition(aPendings.begin(), aPendings.end(), isPatient);
    std::move(first, aPendings.end(), std::back_inserter(passedOn));
    aPendings.erase(first, aPendings.end());
  };
  if (this->batch) {
    takeFrom(this->batch->claims);
  }
  {
    const std::lock_guard lock(this->mutex);
    takeFrom(this->queue);
  }
  for (const Pending& pending : passedOn) {
    ClaimAnswer answer;
    answer.verdict = Verdict::Unreachable;
    pending.callback(answer);
  }
}

Result<void>
ClaimBatcher::Advance()
{
  if (!this->batch->tried) {
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
  if (!this->batch->seen) {
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
  // A key that is held may have been freed since; only a fresh reading can refuse it
  const bool probing = this->failures > 0;
  if (!this->loaded || probing || this->AnyHeld()) {
    if (auto caughtUp = this->CatchUp(); !caughtUp) {
      return caughtUp;
    }
    this->loaded = true;
  }
  this->AnswerHeld();
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
  if (!this->batch->tried) {
    ++this->nextId.sequence;
    this->lastAppend = this->clock.Now();
  }
  this->batch->tried = true;
  const auto offset = this->log.Append(this->stream, this->batch->text);
  {
    const std::lock_guard lock(this->mutex);
    ++this->counters.appends;
  }

  // Offsets only grow: if ours is the next one, nothing can stand between
  if (offset && offset.value() == this->ledger.NextOffset()) {
    this->ledger.Fold(offset.value(), this->batch->record);
    this->batch->seen = true;
    return boost::outcome_v2::success();
  }
  if (auto caughtUp = this->CatchUp(); !caughtUp) {
    return caughtUp;
  }
  if (!this->batch->seen) {
    return offset ? Error(ErrorKind::PlatformUnavailable, "the record can't be read yet")
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
    // A page of very large records may be too long an answer
    if (!page) {
      this->pageLimit = std::max(kLeastPageLimit, this->pageLimit / 2);
      this->PassOnWhileCold();
      return page.error();
    }
    this->pageLimit = std::min(this->settings.pageLimit, this->pageLimit * 2);

    // Go no further than what was there at first, or a busy stream would never end
    end = end == kNoOffset ? page.value().end : end;
    this->ApplyPage(page.value());
    if (page.value().records.empty() || this->ledger.NextOffset() >= end) {
      break;
    }
    this->PassOnWhileCold();
  }
  return boost::outcome_v2::success();
}

void
ClaimBatcher::ApplyPage(const LogPage& aPage)
{
  const auto report = this->ledger.ObserveStart(aPage.start, this->clock.WallNow());
  if (report.retentionTooShort) {
    kLog.Error("{}: the log forgets claims sooner than the key lifetime of {} ms; keys may be used "
               "twice.",
               this->stream, this->settings.keyLifetime.count());
  }
  if (report.skipped > 0 && this->loaded) {
    kLog.Warning("{}: {} records lapsed unread.", this->stream, report.skipped);
  }
  for (const LogRecord& record : aPage.records) {
    const auto applied = this->ledger.Apply(record.offset, record.data);
    if (!applied.faults.empty()) {
      kLog.Warning("{}: skipped an invalid record at {}: {}.", this->stream, record.offset,
                   DescribeFaults(applied.faults));
    }
    if (this->batch && this->batch->tried && applied.author == this->batch->record.author) {
      this->batch->seen = true;
    }
  }
}

bool
ClaimBatcher::AnyHeld() const
{
  const auto now = this->clock.WallNow();
  return std::any_of(
    this->batch->claims.begin(), this->batch->claims.end(), [&](const Pending& aPending) {
      return this->ledger.Find(aPending.claim.key, now) || this->ledger.IsVoid(aPending.claim.id);
    });
}

void
ClaimBatcher::AnswerHeld()
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

  // What is left without a holder was withdrawn in the meantime
  this->AnswerHeld();
  for (const Pending& pending : this->batch->claims) {
    pending.callback(Unavailable(true));
  }
  this->batch.reset();
}

Milliseconds
ClaimBatcher::NoteFailure(const Error& aError)
{
  const auto delay = this->backoff.Next(aError);
  ++this->failures;
  kLog.Warning("{}: round {} without the log ({}), next try in {} ms.", this->stream,
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
    this->outage = aRetryAfter;
    refused.swap(this->queue);

    // Outcomes must not be lost with their batch; writing one twice changes nothing
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
      pending.callback(Unavailable(this->batch->tried, aRetryAfter));
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
