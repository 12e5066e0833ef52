#include "StandIns/Platform/LogStandIn.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonward::standins {

namespace {

using nlohmann::json;

/// Maximum number of records per page, and the default.
constexpr std::int64_t kMaxPage = 1000;

bool
IsUtf8(const std::string& aText)
{
  try {
    (void)json(aText).dump();
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

} // namespace

LogStandIn::LogStandIn(const LogSettings& aSettings, Scheduler& aScheduler)
  : settings(aSettings)
  , scheduler(aScheduler)
  , appendRate(aSettings.appendsPerSecond)
{
}

void
LogStandIn::Append(const Exchange& aExchange, const std::string& aName)
{
  const auto& body = aExchange->Request().body;
  if (body.size() > this->settings.maxRecordBytes) {
    aExchange->Respond(413, ErrorBody("record_too_large", "The record is too large."));
    return;
  }
  if (!IsUtf8(body)) {
    aExchange->Respond(400, ErrorBody("invalid_record", "A record is UTF-8 text."));
    return;
  }
  const std::lock_guard lock(this->mutex);
  if (!this->appendRate.TryConsume()) {
    ++this->refused;
    aExchange->Respond(429, ErrorBody("too_many_appends", "Too many appends a second."),
                       "application/json", { { "Retry-After", "1" } });
    return;
  }
  ++this->appends;
  auto& stream = this->streams[aName];
  const auto offset = stream.start + static_cast<std::int64_t>(stream.records.size());
  stream.records.push_back({ body, std::chrono::steady_clock::now() });
  this->Expire(stream);
  aExchange->Respond(200, json{ { "offset", offset } }.dump());
  // Complete the long polls that wait for this record
  auto waiters = std::move(stream.waiters);
  stream.waiters.clear();
  for (auto& waiter : waiters) {
    if (waiter.from <= offset) {
      waiter.exchange->Respond(200, BuildPage(stream, waiter.from, waiter.limit));
    } else {
      stream.waiters.push_back(std::move(waiter));
    }
  }
}

void
LogStandIn::Read(const Exchange& aExchange, const std::string& aName)
{
  const auto& request = aExchange->Request();
  const auto from = std::max<std::int64_t>(0, request.QueryNumber("from", 0));
  const auto limit = std::clamp<std::int64_t>(request.QueryNumber("limit", kMaxPage), 1, kMaxPage);
  const std::chrono::milliseconds wait(
    std::clamp<std::int64_t>(request.QueryNumber("wait_ms", 0), 0, this->settings.maxWait.count()));
  const std::lock_guard lock(this->mutex);
  auto& stream = this->streams[aName];
  this->Expire(stream);
  const auto end = stream.start + static_cast<std::int64_t>(stream.records.size());
  if (from < end || wait.count() == 0) {
    aExchange->Respond(200, BuildPage(stream, from, limit));
    return;
  }
  const auto id = this->nextWaiter++;
  stream.waiters.push_back({ id, aExchange, from, limit });
  this->scheduler.After(wait, [this, aName, id] { this->CompleteTimedOutRead(aName, id); });
}

void
LogStandIn::CompleteTimedOutRead(const std::string& aName, std::int64_t aWaiter)
{
  const std::lock_guard lock(this->mutex);
  auto& stream = this->streams[aName];
  const auto found = std::find_if(stream.waiters.begin(), stream.waiters.end(),
                                  [&](const Waiter& aOther) { return aOther.id == aWaiter; });
  if (found != stream.waiters.end()) {
    found->exchange->Respond(200, BuildPage(stream, found->from, found->limit));
    stream.waiters.erase(found);
  }
}

void
LogStandIn::DropBefore(const std::string& aName, std::int64_t aOffset)
{
  const std::lock_guard lock(this->mutex);
  auto& stream = this->streams[aName];
  while (!stream.records.empty() && stream.start < aOffset) {
    stream.records.pop_front();
    ++stream.start;
  }
}

std::string
LogStandIn::Stats()
{
  const std::lock_guard lock(this->mutex);
  return json{ { "appends", this->appends }, { "appends_refused", this->refused } }.dump();
}

void
LogStandIn::Expire(Stream& aStream) const
{
  const auto oldest = std::chrono::steady_clock::now() - this->settings.retention;
  while (!aStream.records.empty() && (aStream.records.size() > this->settings.maxRecords ||
                                      aStream.records.front().at < oldest)) {
    aStream.records.pop_front();
    ++aStream.start;
  }
}

std::string
LogStandIn::BuildPage(const Stream& aStream, std::int64_t aFrom, std::int64_t aLimit)
{
  const auto end = aStream.start + static_cast<std::int64_t>(aStream.records.size());
  json records = json::array();
  const auto first = std::max(aFrom, aStream.start);
  for (auto offset = first; offset < end && offset < first + aLimit; ++offset) {
    const auto& record = aStream.records[static_cast<std::size_t>(offset - aStream.start)];
    records.push_back({ { "offset", offset }, { "data", record.data } });
  }
  return json{ { "start", aStream.start }, { "end", end }, { "records", records } }.dump();
}

} // namespace lagoonward::standins
