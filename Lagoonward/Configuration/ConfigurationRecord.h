#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Configuration/RecordId.h"

#include <optional>

namespace lagoonward {

/// One record of a stream `config/MARKET`.
///
/// A manifest: `{"kind":"manifest","base":OFFSET,"manifest":{…},"publisher":{"incarnation":…,
/// "sequence":…}}`. `base` is the offset that was in force for its publisher, -1 for none; `kind` may be
/// omitted.
///
/// A checkpoint: `{"kind":"checkpoint","of":OFFSET,"through":OFFSET,"manifest":{…},"publisher":{…}}`.
/// It states that after all records below `through`, the manifest of offset `of` is in force. If none is
/// in force, `of` is -1 and `manifest` is null. A checkpoint does not change the configuration; it repeats
/// the state that the records before it lead to.
struct ConfigurationRecord
{
  enum class Kind
  {
    Manifest,
    Checkpoint,
  };

  Kind kind = Kind::Manifest;
  Offset base = kNoOffset;          ///< Manifest: offset in force for its publisher.
  Offset of = kNoOffset;            ///< Checkpoint: original offset of the manifest in force.
  Offset through = 0;               ///< Checkpoint: first offset that it does not cover.
  std::optional<Manifest> manifest; ///< Empty only in a checkpoint with no manifest in force.
  RecordId publisher;
};

/// Parses a record of one market's stream. A manifest of another market is a fault.
/// @param aFaults  receives all faults, with pointers into the record
/// @return the record, or nothing if there was a fault
[[nodiscard]] std::optional<ConfigurationRecord>
ReadConfigurationRecord(std::string_view aText, std::string_view aMarket, JsonFaults& aFaults);

/// Serializes a record; the inverse of ReadConfigurationRecord().
[[nodiscard]] std::string
WriteConfigurationRecord(const ConfigurationRecord& aRecord);

/// The name of the stream of one market.
[[nodiscard]] std::string
ConfigurationStream(std::string_view aMarket);

} // namespace lagoonward
