#include "Lagoonward/Settings/SettingTexts.h"

#include <arpa/inet.h>
#include <boost/algorithm/string.hpp>

#include <charconv>
#include <map>

namespace lagoonward {

Fault
ReadAddress(const std::string& aText, SocketAddress& aTarget)
{
  const std::size_t colon = aText.rfind(':');
  const std::string address = aText.substr(0, colon);
  in_addr parsed{};
  unsigned port = 0;
  if (colon != std::string::npos && inet_pton(AF_INET, address.c_str(), &parsed) == 1) {
    const char* const end = aText.data() + aText.size();
    const auto [stop, failure] = std::from_chars(aText.data() + colon + 1, end, port);
    if (failure == std::errc() && stop == end && port <= UINT16_MAX) {
      aTarget = { address, static_cast<std::uint16_t>(port) };
      return {};
    }
  }
  return "must be IP:PORT, for example 127.0.0.1:8080";
}

Fault
ReadUrl(const std::string& aText, std::string& aTarget)
{
  if (!aText.starts_with("http://") && !aText.starts_with("https://")) {
    return "must be an http:// or https:// URL";
  }
  aTarget = aText;
  while (aTarget.ends_with('/')) {
    aTarget.pop_back();
  }
  return {};
}

Fault
ReadLogLevel(const std::string& aText, LogLevel& aTarget)
{
  static const std::map<std::string, LogLevel> kLevels{ { "debug", LogLevel::Debug },
                                                        { "info", LogLevel::Info },
                                                        { "warning", LogLevel::Warning },
                                                        { "error", LogLevel::Error } };
  const auto found = kLevels.find(aText);
  if (found == kLevels.end()) {
    return "must be debug, info, warning or error";
  }
  aTarget = found->second;
  return {};
}

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> items;
  boost::split(items, aText, boost::is_any_of(","));
  for (std::string& item : items) {
    boost::trim(item);
  }
  std::erase(items, std::string());
  return items;
}

} // namespace lagoonward
