#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lagoonward::standins {

/// A completely received request.
struct HttpRequest
{
  std::string method;
  std::string path;                           ///< Without the query.
  std::map<std::string, std::string> query;   ///< Decoded arguments.
  std::map<std::string, std::string> headers; ///< Names in lower case.
  std::string body;

  /// The header's value, or an empty view; aName in lower case.
  [[nodiscard]] std::string_view Header(const std::string& aName) const;

  /// The query argument as a number, or aDefault if it is missing or not a number.
  [[nodiscard]] std::int64_t QueryNumber(const std::string& aName, std::int64_t aDefault) const;

  /// The rest of the path after aPrefix; empty if the path does not start with it.
  [[nodiscard]] std::string_view PathAfter(std::string_view aPrefix) const;
};

} // namespace lagoonward::standins
