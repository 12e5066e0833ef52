#include "Lagoonward/Wire/HttpHeaderLine.h"

#include <boost/algorithm/string.hpp>

#include <algorithm>
#include <array>

namespace lagoonward {

std::optional<HttpHeader>
ParseHeaderLine(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view value = aLine.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
  return HttpHeader(aLine.substr(0, colon), value);
}

bool
IsStatusLine(std::string_view aLine)
{
  return aLine.starts_with("HTTP/");
}

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

std::vector<HttpHeader>
EndToEndHeaders(const std::vector<HttpHeader>& aHeaders)
{
  std::vector<std::string> named;
  for (const auto& [name, value] : aHeaders) {
    if (boost::algorithm::iequals(name, "Connection")) {
      std::vector<std::string> names;
      boost::algorithm::split(names, value, boost::is_any_of(", "), boost::token_compress_on);
      named.insert(named.end(), names.begin(), names.end());
    }
  }
  std::vector<HttpHeader> headers;
  for (const HttpHeader& header : aHeaders) {
    const bool isNamed = std::any_of(named.begin(), named.end(), [&](const std::string& aName) {
      return boost::algorithm::iequals(aName, header.first);
    });
    if (!isNamed && !IsHopByHopHeader(header.first)) {
      headers.push_back(header);
    }
  }
  return headers;
}

} // namespace lagoonward
