#include "Lagoonward/Relay/EventSplitter.h"

#include <charconv>

namespace lagoonward {

namespace {

constexpr std::string_view kIdField = "id:";

/// First line of a text without its line break, and the position of the next line.
struct Line
{
  std::string_view text;
  std::size_t next = std::string_view::npos; ///< npos if the line break has not arrived.
};

Line
FirstLine(std::string_view aText)
{
  const std::size_t end = aText.find('\n');
  if (end == std::string_view::npos) {
    return { aText, end };
  }
  std::string_view line = aText.substr(0, end);
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  return { line, end + 1 };
}

} // namespace

EventSplitter::EventSplitter(std::size_t aMaximumEventBytes)
  : maximumEventBytes(aMaximumEventBytes)
{
}

bool
EventSplitter::FindEventEnd()
{
  bool hasEnded = false;
  for (;;) {
    const Line line = FirstLine(std::string_view(this->pending).substr(this->lineStart));
    const bool isPartOfNextEvent = hasEnded && !line.text.empty();
    if (line.next == std::string_view::npos || isPartOfNextEvent) {
      return hasEnded;
    }
    this->lineStart += line.next;
    hasEnded = line.text.empty();
  }
}

std::string_view
EventSplitter::FindEventId(std::string_view aEvent)
{
  std::string_view id;
  while (!aEvent.empty()) {
    const Line line = FirstLine(aEvent);
    if (line.text.starts_with(kIdField)) {
      id = line.text.substr(kIdField.size());
      id.remove_prefix(id.starts_with(' ') ? 1 : 0);
    }
    aEvent.remove_prefix(line.next == std::string_view::npos ? aEvent.size() : line.next);
  }
  return id;
}

bool
EventSplitter::HasField(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const Line line = FirstLine(aEvent);
    if (!line.text.empty() && !line.text.starts_with(':')) {
      return true;
    }
    aEvent.remove_prefix(line.next == std::string_view::npos ? aEvent.size() : line.next);
  }
  return false;
}

std::optional<std::int64_t>
ParseEventNumber(std::string_view aId)
{
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(aId.data(), aId.data() + aId.size(), number);
  const bool isValid = error == std::errc() && end == aId.data() + aId.size() && !aId.empty();
  return isValid ? std::optional(number) : std::nullopt;
}

} // namespace lagoonward
