#include "Lagoonward/Daemon/UsageReporter.h"

#include "Lagoonward/Core/Log.h"

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
  const std::int64_t current = this->usage.CurrentWindow();
  const std::int64_t oldest = this->usage.OldestReportable();
  for (std::int64_t window = oldest; window < current; ++window) {
    if (!this->Report(window)) {
      return;
    }
  }
  this->ForgetBefore(oldest);
}

bool
UsageReporter::Report(std::int64_t aWindow)
{
  const auto fencing = this->ports.mayAct();
  if (!fencing || this->reported.contains(aWindow)) {
    return true;
  }
  const Milliseconds since = this->usage.SinceEndOf(aWindow);
  if (!this->ports.isDue(since)) {
    return true;
  }
  if (!this->WriteDown(aWindow)) {
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

bool
UsageReporter::WriteDown(std::int64_t aWindow)
{
  if (!this->knowsLedger && !this->ReadLog()) {
    return false;
  }
  this->knowsLedger = true;
  if (this->ledger.Find(aWindow) != nullptr) {
    return true;
  }
  UsageRecord record;
  record.window = aWindow;
  record.counts = this->ports.countsOf(aWindow);
  const std::string text = WriteUsageRecord(record);
  const auto offset = this->ports.log->Append(this->ports.stream, text);
  if (offset && offset.value() == this->ledger.NextOffset()) {
    // Nobody has written before it, so it is as good as read
    this->ledger.Apply(offset.value(), text);
    return true;
  }
  // What counts is what is read back, whatever became of the append
  this->knowsLedger = false;
  if (!offset) {
    kLog.Event(LogLevel::Warning, "usage_append_unanswered", { { "window", aWindow } });
  }
  this->knowsLedger = this->ReadLog();
  return this->knowsLedger && this->ledger.Find(aWindow) != nullptr;
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
    this->ledger.SkipTo(page.value().start);
    for (const LogRecord& record : page.value().records) {
      this->ledger.Apply(record.offset, record.data);
    }
    if (page.value().records.empty()) {
      return true;
    }
  }
}

void
UsageReporter::ForgetBefore(std::int64_t aWindow)
{
  // One of those that may lead says it for all
  if (this->forgottenBefore > 0 && this->ports.mayAct()) {
    for (std::int64_t window = this->forgottenBefore; window < aWindow; ++window) {
      this->NoteUnreported(window);
    }
  }
  this->forgottenBefore = aWindow;
  this->ports.forget(aWindow);
  this->ledger.Forget(aWindow);
  std::erase_if(this->reported, [&](std::int64_t aEach) { return aEach < aWindow; });
}

void
UsageReporter::NoteUnreported(std::int64_t aWindow) const
{
  const std::int64_t counted = SumOf(this->ports.countsOf(aWindow));
  const UsageRecord* record = this->ledger.Find(aWindow);
  const std::int64_t written = record == nullptr ? 0 : SumOf(record->counts);
  if (counted <= written) {
    return;
  }
  const bool isLost = record == nullptr;
  kLog.Event(LogLevel::Warning, isLost ? "usage_lost" : "usage_short",
             { { "window", aWindow }, { "counted", counted }, { "written_down", written } });
}

} // namespace lagoonward
