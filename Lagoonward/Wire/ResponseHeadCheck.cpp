#include "Lagoonward/Wire/ResponseHeadCheck.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <optional>

namespace lagoonward {

namespace {

constexpr std::string_view kProtocol = "HTTP/";
constexpr std::size_t kStatusDigits = 3;
constexpr int kFirstFinalStatus = 200;
constexpr std::size_t kLoggedLineBytes = 100;

bool
IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

/// A character of a header name (RFC 9110, token).
bool
IsNameCharacter(char aCharacter)
{
  const bool isLetter =
    (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z');
  return isLetter || IsDigit(aCharacter) ||
         std::string_view("!#$%&'*+-.^_`|~").find(aCharacter) != std::string_view::npos;
}

/// Whether the line holds CR, LF or NUL, which RFC 9110 (section 5.5) calls dangerous: recipients see different line ends.
bool
HasLineEnd(std::string_view aLine)
{
  using namespace std::string_view_literals;
  return aLine.find_first_of("\r\n\0"sv) != std::string_view::npos;
}

/// The part of a header line before its colon, without the white space that a proxy has to tolerate there; empty if there
/// is no colon.
std::string_view
NameOf(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  const std::string_view name = aLine.substr(0, colon == std::string_view::npos ? 0 : colon);
  return name.substr(0, name.find_last_not_of(" \t") + 1);
}

/// The status of a status line (RFC 9112, section 4); nullopt if the text doesn't begin with one.
std::optional<int>
ParseStatusLine(std::string_view aText)
{
  if (!aText.starts_with(kProtocol)) {
    return std::nullopt;
  }
  aText.remove_prefix(kProtocol.size());
  const std::size_t versionEnd = std::min(aText.find_first_not_of("0123456789."), aText.size());
  aText.remove_prefix(versionEnd);
  if (versionEnd == 0 || aText.size() < 1 + kStatusDigits || aText.front() != ' ') {
    return std::nullopt;
  }
  aText.remove_prefix(1);
  const std::string_view digits = aText.substr(0, kStatusDigits);
  const std::string_view rest = aText.substr(kStatusDigits);
  if (!std::all_of(digits.begin(), digits.end(), IsDigit) ||
      (!rest.empty() && rest.front() != ' ')) {
    return std::nullopt;
  }
  int status = 0;
  for (const char digit : digits) {
    status = status * 10 + (digit - '0');
  }
  return status;
}

/// Whether a status line begins anywhere in the text.
bool
ContainsStatusLine(std::string_view aText)
{
  for (std::size_t at = aText.find(kProtocol); at != std::string_view::npos;
       at = aText.find(kProtocol, at + 1)) {
    if (ParseStatusLine(aText.substr(at))) {
      return true;
    }
  }
  return false;
}

} // namespace

bool
ResponseHeadCheck::Accept(std::string_view aLine)
{
  if (!this->fault.empty()) {
    return false;
  }
  if (this->expected == Expected::StatusLine) {
    return this->AcceptStatusLine(aLine);
  }
  if (!aLine.empty()) {
    return this->AcceptHeader(aLine);
  }
  if (this->expected == Expected::Header) {
    this->expected = this->isInterim ? Expected::StatusLine : Expected::Trailer;
  }
  return true;
}

bool
ResponseHeadCheck::AcceptStatusLine(std::string_view aLine)
{
  const auto status = ParseStatusLine(aLine);
  if (!status) {
    return this->Reject("malformed status line", aLine);
  }
  if (ContainsStatusLine(aLine.substr(kProtocol.size()))) {
    return this->Reject("status line holds the start of another response", aLine);
  }
  if (HasLineEnd(aLine)) {
    return this->Reject("status line with a line end within", aLine);
  }
  this->isInterim = *status < kFirstFinalStatus;
  this->expected = Expected::Header;
  return true;
}

bool
ResponseHeadCheck::AcceptHeader(std::string_view aLine)
{
  if (ContainsStatusLine(aLine)) {
    return this->Reject("header line holds the start of another response", aLine);
  }
  if (HasLineEnd(aLine)) {
    return this->Reject("header line with a line end within", aLine);
  }
  const bool continuesLine = aLine.front() == ' ' || aLine.front() == '\t';
  if (continuesLine) {
    return true;
  }
  const std::string_view name = NameOf(aLine);
  const bool isNamed = !name.empty() && std::all_of(name.begin(), name.end(), IsNameCharacter);
  return isNamed || this->Reject("malformed header line", aLine);
}

bool
ResponseHeadCheck::Reject(std::string_view aReason, std::string_view aLine)
{
  this->fault = fmt::format("{}: {}", aReason, aLine.substr(0, kLoggedLineBytes));
  return false;
}

} // namespace lagoonward
