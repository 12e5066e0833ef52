#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace lagoonward {

/// One token event of an engine.
struct TokenEvent
{
  std::int64_t index = 0;
  std::string_view text; ///< Points into the event.
};

/// Parses a token event in the plain form that engines write most: `{"index":N,"text":"..."}`, where a space may follow
/// a colon or a comma, and the text is ASCII without escapes. Returns nothing for any other event, valid or not; the
/// caller passes those to the JSON parser.
[[nodiscard]] std::optional<TokenEvent>
ParsePlainToken(std::string_view aEvent);

} // namespace lagoonward
