#pragma once

#include "Lagoonward/Configuration/JsonReader.h"

#include <compare>
#include <cstdint>
#include <string>

namespace lagoonward {

/// Identity of one thing that a process wrote to the log. An append whose answer was lost is settled
/// by looking for it. Unique because an incarnation names one run of one process and is never reused.
struct RecordId
{
  std::string incarnation;    ///< One run of one process.
  std::uint64_t sequence = 0; ///< Counts what that run has written.

  [[nodiscard]] auto operator<=>(const RecordId&) const = default;
};

/// A new incarnation: 32 random hexadecimal digits.
[[nodiscard]] std::string
MakeIncarnation();

/// Reads a member `{"incarnation": …, "sequence": …}`.
[[nodiscard]] RecordId
ReadRecordId(JsonReader& aReader, std::string_view aField);

/// The JSON value that ReadRecordId() reads.
[[nodiscard]] nlohmann::json
WriteRecordId(const RecordId& aId);

/// `INCARNATION:SEQUENCE`, for log lines and messages.
[[nodiscard]] std::string
ToString(const RecordId& aId);

} // namespace lagoonward
