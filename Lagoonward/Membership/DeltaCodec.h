#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonward {

/// Encodes a text as its compressed difference to a base that the receiver has as well, so that its size follows what
/// has changed. With an empty base the text is only compressed. Uses Zstandard (RFC 8878) with the base as dictionary.
[[nodiscard]] std::string
EncodeDelta(std::string_view aBase, std::string_view aText);

/// Decodes what EncodeDelta() returned for the same base.
/// @param aMaximumBytes  longer texts are refused
/// @return nullopt if the bytes are malformed, were encoded for another base, or the text is too long
[[nodiscard]] std::optional<std::string>
DecodeDelta(std::string_view aBase, std::string_view aDelta, std::size_t aMaximumBytes);

} // namespace lagoonward
