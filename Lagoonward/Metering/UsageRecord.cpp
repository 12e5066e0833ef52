#include "Lagoonward/Metering/UsageRecord.h"

#include "Lagoonward/Configuration/JsonReader.h"

#include <algorithm>

namespace lagoonward {

namespace {

constexpr IntegerRange kIntegers{ 0, 9'007'199'254'740'991 };

} // namespace

std::optional<UsageRecord>
ReadUsageRecord(std::string_view aText)
{
  JsonFaults faults;
  const auto value = ParseStrictJson(aText, faults);
  if (!value) {
    return std::nullopt;
  }
  JsonReader reader(*value, "", faults);
  UsageRecord record;
  record.window = reader.ReadInteger("window", kIntegers);
  const nlohmann::json* counts = reader.Require("counts");
  if (!faults.IsEmpty() || !counts->is_object()) {
    return std::nullopt;
  }
  for (const auto& [account, count] : counts->items()) {
    if (!count.is_number_integer()) {
      return std::nullopt;
    }
    record.counts[account] = count.get<std::int64_t>();
  }
  return record;
}

std::string
WriteUsageRecord(const UsageRecord& aRecord)
{
  nlohmann::json counts = nlohmann::json::object();
  for (const auto& [account, count] : aRecord.counts) {
    counts[account] = count;
  }
  return nlohmann::json{ { "window", aRecord.window }, { "counts", std::move(counts) } }.dump();
}

void
UsageLedger::Apply(Offset aOffset, std::string_view aData)
{
  if (aOffset < this->next) {
    return;
  }
  this->next = aOffset + 1;
  if (auto record = ReadUsageRecord(aData)) {
    const std::int64_t window = record->window;
    this->records.emplace(window, std::move(*record));
    this->unread.erase(window);
  }
}

void
UsageLedger::BeginEpoch(std::int64_t aEpoch)
{
  this->epoch = aEpoch;
  this->next = 0;
  for (const auto& [window, record] : this->records) {
    this->unread.insert(window);
  }
}

std::vector<UsageRecord>
UsageLedger::LostRecords() const
{
  std::vector<UsageRecord> lost;
  for (const std::int64_t window : this->unread) {
    lost.push_back(this->records.at(window));
  }
  return lost;
}

void
UsageLedger::SkipTo(Offset aOffset)
{
  this->next = std::max(this->next, aOffset);
}

const UsageRecord*
UsageLedger::Find(std::int64_t aWindow) const
{
  const auto found = this->records.find(aWindow);
  return found == this->records.end() ? nullptr : &found->second;
}

void
UsageLedger::EvictBefore(std::int64_t aBefore)
{
  std::erase_if(this->records, [&](const auto& aEntry) { return aEntry.first < aBefore; });
  std::erase_if(this->unread, [&](std::int64_t aWindow) { return aWindow < aBefore; });
}

} // namespace lagoonward
