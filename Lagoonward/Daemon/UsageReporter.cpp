#include "Lagoonward/Daemon/UsageReporter.h"

#include "Lagoonward/Core/Log.h"

#include <algorithm>

namespace lagoonward {

namespace {

const Log kLog("duties");

constexpr Milliseconds kReadWait{ 0 };

std::int64_t
SumOf(const UsageCounts& aCounts)
{
  std::int64_t sum = 0;
  for (const auto& [account, count] : aCounts) {
    sum += count;
  }
  return sum;
}

} // namespace

UsageReporter::UsageReporter(UsageReporterPorts aPorts, const UsageCounter& aUsage)
  : ports(std::move(aPorts))
  , usage(aUsage)
{
}

void
UsageReporter::Step()
{
  this->CheckEpoch();
  if (this->IsLogRestored() && this->ReadLog()) {
    this->AppendLostRecords();
  }
  const std::int64_t current = this->usage.CurrentWindow();
  const std::int64_t oldest = this->usage.OldestReportableWindow();
  for (std::int64_t window = oldest; window < current; ++window) {
    if (!this->Report(window)) {
      return;
    }
  }
  this->ExpireBefore(oldest);
}

bool
UsageReporter::Report(std::int64_t aWindow)
{
  const auto fencing = this->ports.fencingIfLeader();
  if (!fencing || this->reported.contains(aWindow)) {
    return true;
  }
  const Milliseconds since = this->usage.TimeSinceEnd(aWindow);
  if (!this->ports.isDue(since)) {
    return true;
  }
  // A daemon that has the record may be about to append it again
  if (this->MayHaveLostRecord(aWindow) && !this->ReadLog()) {
    return false;
  }
  if (this->MayHaveLostRecord(aWindow)) {
    return true;
  }
  if (!this->EnsureRecorded(aWindow)) {
    return false;
  }
  const UsageRecord& record = *this->ledger.Find(aWindow);
  const auto sent = this->ports.report(record, *fencing);
  kLog.Event("usage", { { "window", aWindow },
                        { "since_end_ms", since.count() },
                        { "accounts", record.counts.size() },
                        { "fencing", *fencing },
                        { "accepted", sent.has_value() } });
  if (sent) {
    this->reported.insert(aWindow);
    return true;
  }
  if (sent.error().kind != ErrorKind::StaleFencing) {
    return true;
  }
  this->ports.onRefused(*fencing);
  return false;
}

void
UsageReporter::CheckEpoch()
{
  const std::int64_t epoch =
    std::max(this->ports.logEpoch(), this->ledger.Epoch().value_or(this->seenEpoch));
  if (epoch > this->seenEpoch) {
    this->seenEpoch = epoch;
    this->epochWindow = this->usage.CurrentWindow();
  }
}

bool
UsageReporter::MayHaveLostRecord(std::int64_t aWindow) const
{
  return aWindow < this->epochWindow && this->ledger.Find(aWindow) == nullptr;
}

bool
UsageReporter::EnsureRecorded(std::int64_t aWindow)
{
  if (!this->isLedgerCurrent && !this->ReadLog()) {
    return false;
  }
  this->isLedgerCurrent = true;
  this->CheckEpoch();
  if (this->MayHaveLostRecord(aWindow)) {
    return false;
  }
  if (this->ledger.Find(aWindow) != nullptr) {
    return true;
  }
  UsageRecord record;
  record.window = aWindow;
  record.counts = this->ports.countsOf(aWindow);
  const std::string text = WriteUsageRecord(record);
  const auto position = this->ports.log->Append(this->ports.stream, text);
  if (position &&
      position.value() == LogPosition(this->ledger.NextOffset(), *this->ledger.Epoch())) {
    // The record directly follows the last one read, so no other one precedes it and it need not be read back
    this->ledger.Apply(position.value().offset, text);
    return true;
  }
  // The first record in the log is authoritative, whether or not this append succeeded, so the log is read again
  this->isLedgerCurrent = false;
  if (!position) {
    kLog.Event(LogLevel::Warning, "usage_append_unanswered", { { "window", aWindow } });
  }
  this->isLedgerCurrent = this->ReadLog();
  return this->isLedgerCurrent && this->ledger.Find(aWindow) != nullptr;
}

bool
UsageReporter::ReadLog()
{
  for (;;) {
    const auto page = this->ports.log->Read(this->ports.stream, this->ledger.NextOffset(),
                                            this->ports.page, kReadWait);
    if (!page) {
      return false;
    }
    const bool isShorter = page.value().end < this->ledger.NextOffset() &&
                           page.value().start <= this->ledger.NextOffset();
    if (this->ledger.Epoch() != page.value().epoch || isShorter) {
      this->ledger.BeginEpoch(page.value().epoch);
      continue;
    }
    this->ledger.SkipTo(page.value().start);
    for (const LogRecord& record : page.value().records) {
      this->ledger.Apply(record.offset, record.data);
    }
    if (page.value().records.empty()) {
      return true;
    }
  }
}

bool
UsageReporter::IsLogRestored() const
{
  const std::optional<std::int64_t> epoch = this->ledger.Epoch();
  return !this->ledger.LostRecords().empty() || (epoch && this->ports.logEpoch() > *epoch);
}

void
UsageReporter::AppendLostRecords()
{
  for (const UsageRecord& record : this->ledger.LostRecords()) {
    const std::string text = WriteUsageRecord(record);
    const bool isWritten = this->ports.log->Append(this->ports.stream, text).has_value();
    kLog.Event(LogLevel::Warning, "usage_record_restored",
               { { "window", record.window }, { "written", isWritten } });
  }
}

void
UsageReporter::ExpireBefore(std::int64_t aWindow)
{
  // Only the leader logs it, as the counts are the sums over all daemons
  if (this->expiredBefore > 0 && this->ports.fencingIfLeader()) {
    for (std::int64_t window = this->expiredBefore; window < aWindow; ++window) {
      this->LogUnreported(window);
    }
  }
  this->expiredBefore = aWindow;
  this->ports.expireBefore(aWindow);
  this->ledger.EvictBefore(aWindow);
  std::erase_if(this->reported, [&](std::int64_t aEach) { return aEach < aWindow; });
}

void
UsageReporter::LogUnreported(std::int64_t aWindow) const
{
  const std::int64_t counted = SumOf(this->ports.countsOf(aWindow));
  const UsageRecord* record = this->ledger.Find(aWindow);
  const std::int64_t recorded = record == nullptr ? 0 : SumOf(record->counts);
  if (counted <= recorded) {
    return;
  }
  const bool isLost = record == nullptr;
  kLog.Event(LogLevel::Warning, isLost ? "usage_lost" : "usage_short",
             { { "window", aWindow }, { "counted", counted }, { "written_down", recorded } });
}

} // namespace lagoonward
