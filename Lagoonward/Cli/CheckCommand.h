#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace lagoonward {

/// `lagoonward check FILE`: validates a manifest and prints each fault with its JSON pointer.
/// @param aArguments  the arguments after `check`
/// @return the exit status: 0 if the manifest is valid, 1 if it is invalid or unreadable, 2 on wrong usage
[[nodiscard]] int
RunCheck(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr);

} // namespace lagoonward
