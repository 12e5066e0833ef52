#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lagoonward::standins {

/// One request as a stand-in received it, whole.
struct HttpRequest
{
  std::string method;
  std::string path;                           ///< Without the query.
  std::map<std::string, std::string> query;   ///< Decoded arguments.
  std::map<std::string, std::string> headers; ///< Names in lower case.
  std::string body;

  /// The header's value, or nothing; aName in lower case.
  [[nodiscard]] std::string_view Header(const std::string& aName) const;

  /// The argument as a number, or aDefault where it is missing or no number.
  [[nodiscard]] std::int64_t QueryNumber(const std::string& aName, std::int64_t aDefault) const;

  /// What follows aPrefix in the path; empty where the path does not begin with it.
  [[nodiscard]] std::string_view PathAfter(std::string_view aPrefix) const;
};

} // namespace lagoonward::standins
