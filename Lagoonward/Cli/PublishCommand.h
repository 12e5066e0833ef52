#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace lagoonward {

/// `lagoonward publish FILE --log-url URL [--base OFFSET]`: validates a manifest, appends it to its
/// market's stream and prints whether it came into force or which record did instead. Without `--base` it is based on
/// the configuration in force. Each flag `--foo-bar` may also be given as the variable LAGOONWARD_FOO_BAR; the flag
/// overrides it.
/// @param aArguments  the arguments after `publish`
/// @return the exit status: 0 if in force; 1 if invalid, superseded or not known to be in force; 2 on wrong usage
[[nodiscard]] int
RunPublish(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr);

} // namespace lagoonward
