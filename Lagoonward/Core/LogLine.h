#pragma once

#include "Lagoonward/Core/Log.h"

#include <string>
#include <string_view>

namespace lagoonward {

/// Longest text in a log line, in bytes; the rest of a longer one is left out. Texts from outside, such as a record's
/// key or a header, may be as long as their sender likes.
inline constexpr std::size_t kMaximumLoggedText = 1000;

/// Begins a line of LogFormat::Json with the time, the level and the component.
/// @param aMilliseconds  Unix time
[[nodiscard]] std::string
BeginLogLine(LogLevel aLevel, std::string_view aComponent, std::int64_t aMilliseconds);

/// Appends `,"name":value`. A text is shortened to kMaximumLoggedText.
void
AppendLogField(std::string& aLine, const LogField& aField);

} // namespace lagoonward
