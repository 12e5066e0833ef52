#pragma once

#include "Lagoonward/Wire/HttpExchange.h"

#include <optional>
#include <string_view>

namespace lagoonward {

/// Parses a header line of a response, without its line end. @return nullopt for a line that is no header
[[nodiscard]] std::optional<HttpHeader>
ParseHeaderLine(std::string_view aLine);

/// Whether a line is a status line, which begins the head of a response. Interim (1xx) responses have heads of their own.
[[nodiscard]] bool
IsStatusLine(std::string_view aLine);

/// Whether a header concerns one connection only, or the framing of a message on it, so that an intermediary writes its
/// own (RFC 9110, section 7.6.1). Names are case-insensitive.
[[nodiscard]] bool
IsHopByHopHeader(std::string_view aName);

/// The headers that an intermediary passes on: all but the hop-by-hop ones, which include those that the Connection header
/// names.
[[nodiscard]] std::vector<HttpHeader>
EndToEndHeaders(const std::vector<HttpHeader>& aHeaders);

} // namespace lagoonward
