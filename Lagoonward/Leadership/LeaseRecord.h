#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Configuration/RecordId.h"

#include <optional>

namespace lagoonward {

/// One record of a stream `lease/MARKET/REGION`:
/// `{"base":OFFSET,"tenure":OFFSET,"vacant_before":OFFSET,"holder":…,"duration_ms":…,"writer":{…}}`.
struct LeaseRecord
{
  Offset base = kNoOffset;   ///< Record that its writer saw in force; -1 for none.
  Offset tenure = kNoOffset; ///< A renewal: the fencing number it keeps. -1 for a new tenure.

  /// Instead of a base: takes over from whatever was in force before this offset, and counts only if
  /// nothing counted since. For readers that no kept record tells what is in force.
  Offset vacantBefore = kNoOffset;

  std::string holder;         ///< Daemon that leads.
  Milliseconds duration{ 0 }; ///< Zero gives the lease up.
  RecordId writer;            ///< The holder's run; another run of it is another holder.
};

/// @return the record, or nothing if there was a fault
[[nodiscard]] std::optional<LeaseRecord>
ReadLeaseRecord(std::string_view aText, JsonFaults& aFaults);

/// The text that ReadLeaseRecord() reads.
[[nodiscard]] std::string
WriteLeaseRecord(const LeaseRecord& aRecord);

/// Name of the stream of one market and region.
[[nodiscard]] std::string
LeaseStream(std::string_view aMarket, std::string_view aRegion);

} // namespace lagoonward
