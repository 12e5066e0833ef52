#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace lagoonward {

/// `lagoonward check FILE`: validates a manifest and prints each fault with its JSON pointer.
/// @param aArguments  what follows `check`
/// @return the exit status: 0 valid, 1 faulty or unreadable, 2 wrong usage
[[nodiscard]] int
RunCheck(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr);

} // namespace lagoonward
