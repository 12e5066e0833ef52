#include "Lagoonward/Relay/EmbeddedHeadFinder.h"

#include "Lagoonward/Wire/HttpHeaderLine.h"
#include "Lagoonward/Wire/ResponseHeadCheck.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <vector>

namespace lagoonward {

namespace {

constexpr std::string_view kProtocol = "HTTP/";
constexpr int kAnyStatus = 200; ///< That of an embedded head does not matter.

/// Limits of the head that is looked for, so that content full of status lines takes no long search.
constexpr std::size_t kMaximumStatusLineBytes = 128;
constexpr std::size_t kMaximumHeadBytes = 16U << 10U;

/// Removes the first complete line from a text.
/// @return the line without its end; nullopt if the text has no complete line
std::optional<std::string_view>
ExtractLine(std::string_view& aText)
{
  const std::size_t end = aText.find('\n');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view line = aText.substr(0, end);
  aText.remove_prefix(end + 1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

/// Whether a line of an event is a comment or one of the fields that WHATWG HTML (section 9.2) defines.
bool
IsEventField(std::string_view aLine)
{
  constexpr std::array<std::string_view, 4> kFields{ "data", "id", "event", "retry" };
  const std::string_view name = aLine.substr(0, aLine.find(':'));
  return name.empty() || std::find(kFields.begin(), kFields.end(), name) != kFields.end();
}

} // namespace

EmbeddedHeadFinder::EmbeddedHeadFinder(const AnyEndpointDialect& aDialect, const RelayCall& aCall)
  : dialect(aDialect)
  , call(aCall)
{
}

bool
EmbeddedHeadFinder::IsInBody(std::string_view aBody) const
{
  for (std::size_t at = aBody.find(kProtocol); at != std::string_view::npos;
       at = aBody.find(kProtocol, at + 1)) {
    if (this->StartsWithHeadOfThisRequest(aBody.substr(at))) {
      return true;
    }
  }
  return false;
}

bool
EmbeddedHeadFinder::StartsWithHeadOfThisRequest(std::string_view aText) const
{
  if (aText.substr(0, kMaximumStatusLineBytes).find('\n') == std::string_view::npos) {
    return false;
  }
  ResponseHeadCheck check;
  std::vector<HttpHeader> headers;
  aText = aText.substr(0, kMaximumHeadBytes);
  while (const auto line = ExtractLine(aText)) {
    if (!check.Accept(*line)) {
      return false;
    }
    if (line->empty()) {
      break;
    }
    if (auto header = ParseHeaderLine(*line)) {
      headers.push_back(std::move(*header));
    }
  }
  return !headers.empty() && this->dialect.readHead(this->call, kAnyStatus, headers).matchesRequest;
}

bool
EmbeddedHeadFinder::IsInEvent(std::string_view aEvent) const
{
  std::vector<HttpHeader> headers;
  while (const auto line = ExtractLine(aEvent)) {
    if (IsEventField(*line)) {
      continue;
    }
    if (auto header = ParseHeaderLine(*line)) {
      headers.push_back(std::move(*header));
    }
  }
  if (headers.empty()) {
    return false;
  }
  const EndpointHead head = this->dialect.readHead(this->call, kAnyStatus, headers);
  return head.matchesRequest || head.namesOtherRequest || head.isMarked;
}

} // namespace lagoonward
