#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Configuration/RecordId.h"

#include <optional>

namespace lagoonward {

/// One record of a stream `config/MARKET`.
///
/// A manifest: `{"kind":"manifest","base":OFFSET,"manifest":{…},"publisher":{"incarnation":…,
/// "sequence":…}}`. `base` is the offset that its publisher saw in force, -1 for none; `kind` may be
/// left out.
///
/// A checkpoint: `{"kind":"checkpoint","of":OFFSET,"through":OFFSET,"manifest":{…},"publisher":{…}}`.
/// It says: a reader of every record below `through` has the manifest of offset `of` in force. With
/// nothing in force, `of` is -1 and `manifest` is null. It changes nothing; it only repeats what the
/// records before it have settled.
struct ConfigurationRecord
{
  enum class Kind
  {
    Manifest,
    Checkpoint,
  };

  Kind kind = Kind::Manifest;
  Offset base = kNoOffset;          ///< Manifest: what its publisher saw in force.
  Offset of = kNoOffset;            ///< Checkpoint: the original offset of what is in force.
  Offset through = 0;               ///< Checkpoint: first offset that it says nothing about.
  std::optional<Manifest> manifest; ///< Empty only in a checkpoint of nothing.
  RecordId publisher;
};

/// Reads a record of one market's stream; a manifest of another market is a fault.
/// @param aFaults  gets every fault, with pointers into the record
/// @return the record, or nothing if there was a fault
[[nodiscard]] std::optional<ConfigurationRecord>
ReadConfigurationRecord(std::string_view aText, std::string_view aMarket, JsonFaults& aFaults);

/// The text that ReadConfigurationRecord() reads.
[[nodiscard]] std::string
WriteConfigurationRecord(const ConfigurationRecord& aRecord);

/// Name of the stream of one market.
[[nodiscard]] std::string
ConfigurationStream(std::string_view aMarket);

} // namespace lagoonward
