#pragma once

#include "Lagoonward/Configuration/JsonReader.h"

#include <compare>
#include <cstdint>
#include <string>

namespace lagoonward {

/// Identifies one record that a process appended to the log. If the response to an append is lost, the process
/// searches the log for this id. Unique because an incarnation identifies one run of one process and is
/// never reused.
struct RecordId
{
  std::string incarnation;    ///< One run of one process.
  std::uint64_t sequence = 0; ///< Counter of the records of that run.

  [[nodiscard]] auto operator<=>(const RecordId&) const = default;
};

/// A new incarnation: 32 random hexadecimal digits.
[[nodiscard]] std::string
MakeIncarnation();

/// Reads an object member `{"incarnation": …, "sequence": …}`.
[[nodiscard]] RecordId
ReadRecordId(JsonReader& aReader, std::string_view aField);

/// The JSON value that ReadRecordId() reads.
[[nodiscard]] nlohmann::json
WriteRecordId(const RecordId& aId);

/// `INCARNATION:SEQUENCE`, for log lines and messages.
[[nodiscard]] std::string
ToString(const RecordId& aId);

} // namespace lagoonward
