#include "Lagoonward/Configuration/ConfigurationRecord.h"

#include "Lagoonward/Configuration/ManifestReader.h"
#include "Lagoonward/Configuration/ManifestWriter.h"

#include <limits>

namespace lagoonward {

namespace {

using nlohmann::json;

constexpr std::int64_t kMaxOffset = std::numeric_limits<std::int64_t>::max() - 1;
constexpr IntegerRange kVersionRange{ kNoOffset, kMaxOffset };
constexpr IntegerRange kThroughRange{ 0, kMaxOffset };
constexpr std::size_t kMaxRecordBytes =
  kMaxManifestBytes + 4096; ///< A manifest and the other fields of a record.

std::optional<Manifest>
ReadEmbeddedManifest(JsonReader& aReader, std::string_view aMarket, JsonFaults& aFaults)
{
  const json* value = aReader.Require("manifest");
  if (value == nullptr) {
    return std::nullopt;
  }
  auto reading = ReadManifest(*value, aReader.PointerOf("manifest"));
  aFaults.AddBelow("", reading.faults);
  if (reading.manifest && reading.manifest->market != aMarket) {
    aFaults.Add("/manifest/market", "not the market of this stream");
  }
  return std::move(reading.manifest);
}

ConfigurationRecord::Kind
ReadKind(JsonReader& aReader)
{
  const std::string kind = aReader.Has("kind") ? aReader.ReadString("kind") : "manifest";
  aReader.Find("kind");
  if (kind == "checkpoint") {
    return ConfigurationRecord::Kind::Checkpoint;
  }
  if (kind != "manifest") {
    aReader.Fault("kind", "expected manifest or checkpoint");
  }
  return ConfigurationRecord::Kind::Manifest;
}

void
ReadCheckpoint(JsonReader& aReader, std::string_view aMarket, ConfigurationRecord& aRecord,
               JsonFaults& aFaults)
{
  aRecord.of = aReader.ReadInteger("of", kVersionRange);
  aRecord.through = aReader.ReadInteger("through", kThroughRange);
  if (aRecord.of >= aRecord.through) {
    aReader.Fault("through", "expected an offset greater than `of`");
  }

  // The manifest is null if none is in force
  const json* manifest = aReader.Find("manifest");
  if (aRecord.of == kNoOffset && manifest != nullptr && manifest->is_null()) {
    return;
  }
  aRecord.manifest = ReadEmbeddedManifest(aReader, aMarket, aFaults);
  if (aRecord.of == kNoOffset) {
    aReader.Fault("of", "expected an offset, got -1 with a manifest");
  }
}

} // namespace

std::optional<ConfigurationRecord>
ReadConfigurationRecord(std::string_view aText, std::string_view aMarket, JsonFaults& aFaults)
{
  if (aText.size() > kMaxRecordBytes) {
    aFaults.Add("", "record is larger than the size limit");
    return std::nullopt;
  }
  const auto faultsBefore = aFaults.Count();
  const auto value = ParseStrictJson(aText, aFaults);
  if (!value) {
    return std::nullopt;
  }
  JsonReader reader(*value, "", aFaults);
  ConfigurationRecord record;
  record.kind = ReadKind(reader);
  if (record.kind == ConfigurationRecord::Kind::Checkpoint) {
    ReadCheckpoint(reader, aMarket, record, aFaults);
  } else {
    record.base = reader.ReadInteger("base", kVersionRange);
    record.manifest = ReadEmbeddedManifest(reader, aMarket, aFaults);
  }
  record.publisher = ReadRecordId(reader, "publisher");
  reader.RejectUnknown();
  if (aFaults.Count() != faultsBefore) {
    return std::nullopt;
  }
  return record;
}

std::string
WriteConfigurationRecord(const ConfigurationRecord& aRecord)
{
  json record{ { "publisher", WriteRecordId(aRecord.publisher) } };
  record["manifest"] = aRecord.manifest ? WriteManifest(*aRecord.manifest) : json(nullptr);
  if (aRecord.kind == ConfigurationRecord::Kind::Checkpoint) {
    record["kind"] = "checkpoint";
    record["of"] = aRecord.of;
    record["through"] = aRecord.through;
  } else {
    record["kind"] = "manifest";
    record["base"] = aRecord.base;
  }
  return record.dump();
}

std::string
ConfigurationStream(std::string_view aMarket)
{
  return "config/" + std::string(aMarket);
}

} // namespace lagoonward
