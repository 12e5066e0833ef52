#include "StandIns/Http/HttpRequest.h"

#include <charconv>

namespace lagoonward::standins {

std::string_view
HttpRequest::Header(const std::string& aName) const
{
  const auto found = this->headers.find(aName);
  return found == this->headers.end() ? std::string_view() : std::string_view(found->second);
}

std::int64_t
HttpRequest::QueryNumber(const std::string& aName, std::int64_t aDefault) const
{
  const auto found = this->query.find(aName);
  if (found == this->query.end()) {
    return aDefault;
  }
  std::int64_t number = 0;
  const auto* end = found->second.data() + found->second.size();
  const auto parsed = std::from_chars(found->second.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end ? number : aDefault;
}

std::string_view
HttpRequest::PathAfter(std::string_view aPrefix) const
{
  const std::string_view fullPath = this->path;
  return fullPath.substr(0, aPrefix.size()) == aPrefix ? fullPath.substr(aPrefix.size())
                                                       : std::string_view();
}

} // namespace lagoonward::standins
