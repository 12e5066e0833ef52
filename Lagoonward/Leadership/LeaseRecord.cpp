#include "Lagoonward/Leadership/LeaseRecord.h"

#include <limits>

namespace lagoonward {

namespace {

constexpr IntegerRange kOffsets{ kNoOffset, std::numeric_limits<Offset>::max() };
constexpr IntegerRange kEpochs{ 0, std::numeric_limits<Offset>::max() };
constexpr IntegerRange kDurations{ 0, 3'600'000 };

} // namespace

std::optional<LeaseRecord>
ReadLeaseRecord(std::string_view aText, JsonFaults& aFaults)
{
  const auto json = ParseStrictJson(aText, aFaults);
  if (!json) {
    return std::nullopt;
  }
  JsonReader reader(*json, "", aFaults);
  LeaseRecord record;
  record.base = reader.ReadInteger("base", kOffsets);
  record.tenure = reader.ReadInteger("tenure", kOffsets, kNoOffset);
  record.vacantBefore = reader.ReadInteger("vacant_before", kOffsets, kNoOffset);
  record.epoch = reader.ReadInteger("epoch", kEpochs, 0);
  record.holder = reader.ReadString("holder");
  record.duration = Milliseconds(reader.ReadInteger("duration_ms", kDurations));
  record.writer = ReadRecordId(reader, "writer");
  if (!aFaults.IsEmpty()) {
    return std::nullopt;
  }
  return record;
}

std::string
WriteLeaseRecord(const LeaseRecord& aRecord)
{
  const nlohmann::json json{ { "base", aRecord.base },
                             { "tenure", aRecord.tenure },
                             { "vacant_before", aRecord.vacantBefore },
                             { "epoch", aRecord.epoch },
                             { "holder", aRecord.holder },
                             { "duration_ms", aRecord.duration.count() },
                             { "writer", WriteRecordId(aRecord.writer) } };
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
LeaseStreamName(std::string_view aMarket, std::string_view aRegion)
{
  return "lease/" + std::string(aMarket) + "/" + std::string(aRegion);
}

} // namespace lagoonward
