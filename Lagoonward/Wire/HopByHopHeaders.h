#pragma once

#include <string_view>

namespace lagoonward {

/// Whether a header concerns one connection only, or the framing of a message on it, so that an intermediary writes its
/// own (RFC 9110, section 7.6.1). Names are case-insensitive.
[[nodiscard]] bool
IsHopByHopHeader(std::string_view aName);

} // namespace lagoonward
