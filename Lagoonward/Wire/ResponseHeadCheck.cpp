#include "Lagoonward/Wire/ResponseHeadCheck.h"

#include <boost/algorithm/string/predicate.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <optional>

namespace lagoonward {

namespace {

constexpr std::string_view kProtocol = "HTTP/";
constexpr std::string_view kBlanks = " \t";
constexpr std::size_t kStatusDigits = 3;
constexpr std::size_t kMaximumLengthDigits = 18; ///< Of a Content-Length; fits into 64 bits.
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kLastStatus = 599;
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
HasForbiddenCharacter(std::string_view aLine)
{
  using namespace std::string_view_literals;
  return aLine.find_first_of("\r\n\0"sv) != std::string_view::npos;
}

/// The part of a header line before its colon, without the white space that a proxy has to tolerate there; empty if there
/// is no colon.
std::string_view
FieldNameOf(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  const std::string_view name = aLine.substr(0, colon == std::string_view::npos ? 0 : colon);
  return name.substr(0, name.find_last_not_of(kBlanks) + 1);
}

/// The part of a header line behind its colon, without white space around it.
std::string_view
FieldValueOf(std::string_view aLine)
{
  const std::string_view value = aLine.substr(aLine.find(':') + 1);
  const std::size_t begin = std::min(value.find_first_not_of(kBlanks), value.size());
  return value.substr(begin, value.find_last_not_of(kBlanks) + 1 - begin);
}

/// Compares the lengths first, as most header lines are others, and a comparison of letters looks up the locale.
bool
IsNamed(std::string_view aName, std::string_view aExpected)
{
  return aName.size() == aExpected.size() && boost::algorithm::iequals(aName, aExpected);
}

/// Whether `chunked` is the last of the transfer codings; with any other the body ends with its connection.
bool
IsChunkedLast(std::string_view aCodings)
{
  const std::size_t comma = aCodings.rfind(',');
  std::string_view last = comma == std::string_view::npos ? aCodings : aCodings.substr(comma + 1);
  last.remove_prefix(std::min(last.find_first_not_of(kBlanks), last.size()));
  return IsNamed(last, "chunked");
}

bool
IsContentLength(std::string_view aName)
{
  return IsNamed(aName, "Content-Length");
}

/// Whether a header of that name says where the body ends.
bool
IsFramingHeader(std::string_view aName)
{
  return IsContentLength(aName) || IsNamed(aName, "Transfer-Encoding");
}

/// Whether the text is `HTTP/` and a version as RFC 9112 (section 2.3) has it, or one without a minor number.
bool
IsVersion(std::string_view aText)
{
  constexpr std::size_t kMajorOnly = 1;
  constexpr std::size_t kMajorAndMinor = 3;
  if (!aText.starts_with(kProtocol)) {
    return false;
  }
  const std::string_view number = aText.substr(kProtocol.size());
  return (number.size() == kMajorOnly && IsDigit(number[0])) ||
         (number.size() == kMajorAndMinor && IsDigit(number[0]) && number[1] == '.' &&
          IsDigit(number[2]));
}

/// The status of a status line (RFC 9112, section 4); nullopt if the line isn't one. Strict, as libcurl reads a status out
/// of some malformed lines that differs from the one they hold.
std::optional<int>
ParseStatusLine(std::string_view aLine)
{
  const std::size_t versionEnd = std::min(aLine.find(' '), aLine.size());
  const std::string_view afterVersion = aLine.substr(versionEnd);
  if (!IsVersion(aLine.substr(0, versionEnd)) || afterVersion.size() < 1 + kStatusDigits) {
    return std::nullopt;
  }
  const std::string_view digits = afterVersion.substr(1, kStatusDigits);
  const std::string_view rest = afterVersion.substr(1 + kStatusDigits);
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

/// Whether the text begins like the part of a status line that follows `HTTP/`, in any spelling that servers may use:
/// wider than ParseStatusLine(), as a status line that isn't accepted by itself must not hide in another line either.
bool
BeginsLikeVersionAndStatus(std::string_view aText)
{
  const auto skip = [&aText](std::string_view aCharacters) {
    aText.remove_prefix(std::min(aText.find_first_not_of(aCharacters), aText.size()));
  };
  skip("0123456789.");
  const std::size_t afterVersion = aText.size();
  skip(kBlanks);
  if (aText.size() == afterVersion || aText.size() < kStatusDigits) {
    return false;
  }
  const std::string_view digits = aText.substr(0, kStatusDigits);
  const std::string_view rest = aText.substr(kStatusDigits);
  return std::all_of(digits.begin(), digits.end(), IsDigit) &&
         (rest.empty() || kBlanks.find(rest.front()) != std::string_view::npos);
}

/// Whether something like a status line begins anywhere in the text.
bool
ContainsStatusLine(std::string_view aText)
{
  for (std::size_t slash = aText.find('/'); slash != std::string_view::npos;
       slash = aText.find('/', slash + 1)) {
    if (boost::algorithm::iends_with(aText.substr(0, slash + 1), kProtocol) &&
        BeginsLikeVersionAndStatus(aText.substr(slash + 1))) {
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
ResponseHeadCheck::IsDelimited() const
{
  // RFC 9112 (section 6.3): a transfer coding overrides a length
  return this->hasNoBody || this->isChunked.value_or(!this->contentLength.empty());
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
  if (HasForbiddenCharacter(aLine)) {
    return this->Reject("status line with a CR, LF or NUL within", aLine);
  }
  // RFC 9110 (section 15): to be treated as an error of the server
  if (*status < kFirstStatus || *status > kLastStatus) {
    return this->Reject("status outside 100 to 599", aLine);
  }
  // No request asks for it, and libcurl would take all that follows for the bytes of another protocol
  if (*status == kSwitchingProtocols) {
    return this->Reject("response switches to another protocol", aLine);
  }
  this->isInterim = *status < kFirstFinalStatus;
  this->hasNoBody = *status == kNoContent || *status == kNotModified;
  this->isChunked.reset();
  this->expected = Expected::Header;
  this->isInFraming = false;
  this->contentLength.clear();
  return true;
}

bool
ResponseHeadCheck::AcceptHeader(std::string_view aLine)
{
  if (ContainsStatusLine(aLine)) {
    return this->Reject("header line holds the start of another response", aLine);
  }
  if (HasForbiddenCharacter(aLine)) {
    return this->Reject("header line with a CR, LF or NUL within", aLine);
  }
  const bool continuesLine = aLine.front() == ' ' || aLine.front() == '\t';
  if (continuesLine) {
    return !this->isInFraming || this->Reject("folded length or transfer coding", aLine);
  }
  const std::string_view name = FieldNameOf(aLine);
  if (name.empty() || !std::all_of(name.begin(), name.end(), IsNameCharacter)) {
    return this->Reject("malformed header line", aLine);
  }
  this->isInFraming = this->expected == Expected::Header && IsFramingHeader(name);
  return !this->isInFraming || this->AcceptFraming(aLine, name);
}

bool
ResponseHeadCheck::AcceptFraming(std::string_view aLine, std::string_view aName)
{
  if (aLine[aName.size()] != ':') {
    return this->Reject("length or transfer coding with a blank before its colon", aLine);
  }
  const std::string_view value = FieldValueOf(aLine);
  if (!IsContentLength(aName)) {
    this->isChunked = IsChunkedLast(value);
    return true;
  }
  const bool isNumber = !value.empty() && value.size() <= kMaximumLengthDigits &&
                        std::all_of(value.begin(), value.end(), IsDigit);
  if (!isNumber) {
    return this->Reject("malformed length", aLine);
  }
  if (!this->contentLength.empty() && this->contentLength != value) {
    return this->Reject("second, other length", aLine);
  }
  this->contentLength = value;
  return true;
}

bool
ResponseHeadCheck::Reject(std::string_view aReason, std::string_view aLine)
{
  this->fault = fmt::format("{}: {}", aReason, aLine.substr(0, kLoggedLineBytes));
  return false;
}

} // namespace lagoonward
