#include "UnitTests/Support/FakeLogService.h"

#include <algorithm>

namespace lagoonward::testing {

namespace {

Error
Unavailable()
{
  return Error(ErrorKind::PlatformUnavailable,
               "the fake log service is unavailable: injected fault")
    .WithRetryAfter(Milliseconds(100));
}

} // namespace

Result<LogPosition>
FakeLogService::Append(std::string_view aStream, std::string_view aRecord)
{
  const std::lock_guard lock(this->mutex);
  Fault fault = this->down ? Fault::Refused : Fault::None;
  if (!this->down && !this->faults.empty()) {
    fault = this->faults.front();
    this->faults.pop_front();
  }
  switch (fault) {
    case Fault::None:
      return LogPosition(this->Store(aStream, aRecord), this->epoch);
    case Fault::AnswerLost:
      this->Store(aStream, aRecord);
      break;
    case Fault::Late:
      this->lateAppends.emplace_back(aStream, aRecord);
      break;
    case Fault::Refused:
      break;
  }
  return Unavailable();
}

Result<LogPage>
FakeLogService::Read(std::string_view aStream, Offset aFrom, int aLimit, Milliseconds /*aWait*/)
{
  const std::lock_guard lock(this->mutex);
  ++this->reads;
  if (this->down || this->unreadable) {
    return Unavailable();
  }
  const Stream& stream = this->streams[std::string(aStream)];
  LogPage page;
  page.epoch = this->epoch;
  page.start = stream.start;
  page.end = stream.start + static_cast<Offset>(stream.records.size());
  const Offset first = std::max(aFrom, page.start);
  const Offset last = std::min(page.end, first + aLimit);
  for (Offset offset = first; offset < last; ++offset) {
    page.records.push_back(
      { offset, stream.records[static_cast<std::size_t>(offset - page.start)] });
  }
  return page;
}

void
FakeLogService::FailAppends(std::vector<Fault> aFaults)
{
  const std::lock_guard lock(this->mutex);
  this->faults.assign(aFaults.begin(), aFaults.end());
}

void
FakeLogService::SetDown(bool aDown)
{
  const std::lock_guard lock(this->mutex);
  this->down = aDown;
}

void
FakeLogService::SetUnreadable(bool aUnreadable)
{
  const std::lock_guard lock(this->mutex);
  this->unreadable = aUnreadable;
}

void
FakeLogService::StoreLateAppends()
{
  const std::lock_guard lock(this->mutex);
  for (const auto& [stream, record] : this->lateAppends) {
    this->Store(stream, record);
  }
  this->lateAppends.clear();
}

void
FakeLogService::Truncate(std::string_view aStream, Offset aStart)
{
  const std::lock_guard lock(this->mutex);
  Stream& stream = this->streams[std::string(aStream)];
  while (stream.start < aStart && !stream.records.empty()) {
    stream.records.pop_front();
    ++stream.start;
  }
}

void
FakeLogService::Copy()
{
  const std::lock_guard lock(this->mutex);
  this->copy = this->streams;
}

void
FakeLogService::Restore()
{
  const std::lock_guard lock(this->mutex);
  this->streams = this->copy;
  ++this->epoch;
}

Offset
FakeLogService::End(std::string_view aStream) const
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->streams.find(aStream);
  if (found == this->streams.end()) {
    return 0;
  }
  return found->second.start + static_cast<Offset>(found->second.records.size());
}

Offset
FakeLogService::Store(std::string_view aStream, std::string_view aRecord)
{
  Stream& stream = this->streams[std::string(aStream)];
  stream.records.emplace_back(aRecord);
  return stream.start + static_cast<Offset>(stream.records.size()) - 1;
}

int
FakeLogService::Reads() const
{
  const std::lock_guard lock(this->mutex);
  return this->reads;
}

} // namespace lagoonward::testing
