#include "Lagoonward/Wire/HopByHopHeaders.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <array>

namespace lagoonward {

bool
IsHopByHopHeader(std::string_view aName)
{
  constexpr std::array<std::string_view, 11> kNames{ "Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Connection",
                                                     "Proxy-Authenticate",
                                                     "Proxy-Authorization",
                                                     "TE",
                                                     "Trailer",
                                                     "Transfer-Encoding",
                                                     "Upgrade",
                                                     "Content-Length",
                                                     "Expect" };
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view aEach) {
    return boost::algorithm::iequals(aEach, aName);
  });
}

} // namespace lagoonward
