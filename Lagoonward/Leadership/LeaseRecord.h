#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Configuration/RecordId.h"

#include <optional>

namespace lagoonward {

/// One record of a stream `lease/MARKET/REGION`:
/// `{"base":OFFSET,"tenure":OFFSET,"vacant_before":OFFSET,"holder":…,"duration_ms":…,"writer":{…}}`.
struct LeaseRecord
{
  Offset base = kNoOffset; ///< Offset of the record that was in force for the writer; -1 for none.
  Offset tenure = kNoOffset; ///< Fencing number that a renewal keeps; -1 for a new tenure.

  /// Used instead of a base by readers that cannot derive the record in force from the retained records. Replaces the
  /// record in force before this offset, and is valid only if no record from this offset on has been valid.
  Offset vacantBefore = kNoOffset;

  /// Epoch of the log whose records the writer had read. One that wrote before it noticed a restore is ignored.
  std::int64_t epoch = 0;

  std::string holder;         ///< Daemon that holds the lease.
  Milliseconds duration{ 0 }; ///< Zero releases the lease.
  RecordId writer; ///< Run of the holder; another run of the same daemon is another holder.
};

/// @return the record, or nothing if the text is invalid
[[nodiscard]] std::optional<LeaseRecord>
ReadLeaseRecord(std::string_view aText, JsonFaults& aFaults);

/// Serializes a record for ReadLeaseRecord().
[[nodiscard]] std::string
WriteLeaseRecord(const LeaseRecord& aRecord);

/// Name of the stream of one market and region.
[[nodiscard]] std::string
LeaseStreamName(std::string_view aMarket, std::string_view aRegion);

} // namespace lagoonward
