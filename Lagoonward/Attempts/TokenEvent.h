#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace lagoonward {

/// One token as an engine sends it.
struct TokenEvent
{
  std::int64_t index = 0;
  std::string_view text; ///< Points into the event.
};

/// Reads a token's event in the plain form that engines write most: `{"index":N,"text":"..."}`, where a
/// space may follow a colon or a comma, and the text has no escapes and is ASCII. Any other event, valid
/// or not, gives nothing and is left to the JSON parser.
[[nodiscard]] std::optional<TokenEvent>
ReadPlainToken(std::string_view aEvent);

} // namespace lagoonward
