#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace lagoonward {

/// `lagoonward publish FILE --log-url URL [--base OFFSET]`: validates a manifest, appends it to its
/// market's stream and prints who won. Without `--base` it builds on what is in force. Each flag
/// `--foo-bar` may also be given as LAGOONWARD_FOO_BAR; the flag wins.
/// @param aArguments  what follows `publish`
/// @return the exit status: 0 in force, 1 faulty, lost or not known to be in force, 2 wrong usage
[[nodiscard]] int
RunPublish(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr);

} // namespace lagoonward
