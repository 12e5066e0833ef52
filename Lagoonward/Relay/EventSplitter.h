#pragma once

#include "Lagoonward/Core/StringMemory.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonward {

/// Splits the bytes of a server-sent event stream (WHATWG HTML, section 9.2) into complete events without
/// changing any byte, so that another endpoint can continue the stream between two events.
/// The `data` fields are not parsed; EventStreamReader does that. Not thread-safe.
class EventSplitter
{
public:
  /// @param aMaximumEventBytes  size limit of one event, with the comments and blank lines before it; after a longer one
  ///                            the splitter ignores all further bytes
  explicit EventSplitter(std::size_t aMaximumEventBytes);

  /// Appends bytes and calls `aOnEvent(std::string_view bytes, std::string_view id)` for each event that they
  /// complete. The id is empty if the event has none. Each byte is searched for the end of its event once, but for those
  /// of an unfinished line.
  /// @return false if an unfinished event has exceeded the size limit
  template<typename Callback>
  bool Consume(std::string_view aBytes, Callback&& aOnEvent)
  {
    if (this->failed) {
      return false;
    }
    this->pending.append(aBytes);
    std::size_t start = 0;
    while (this->FindEventEnd()) {
      const std::size_t end = this->lineStart;
      const std::string_view event = std::string_view(this->pending).substr(start, end - start);
      aOnEvent(event, FindEventId(event));
      this->bytesWithoutField = HasField(event) ? 0 : this->bytesWithoutField + event.size();
      start = end;
    }
    this->pending.erase(0, start);
    this->lineStart -= start;
    this->failed = this->bytesWithoutField + this->pending.size() > this->maximumEventBytes;
    return !this->failed;
  }

  /// Whether an event has begun whose end has not arrived.
  [[nodiscard]] bool HasPartialEvent() const { return !this->pending.empty(); }

  /// Bytes of memory that the unfinished event occupies.
  [[nodiscard]] std::size_t HeldBytes() const { return HeapBytes(this->pending); }

private:
  /// Moves `lineStart` behind the blank line that ends the event, and behind all blank lines that follow it: a run of
  /// them is passed on at once.
  /// @return whether the event has ended
  [[nodiscard]] bool FindEventEnd();
  [[nodiscard]] static std::string_view FindEventId(std::string_view aEvent);
  /// Whether an event has more than comments and blank lines.
  [[nodiscard]] static bool HasField(std::string_view aEvent);

  std::size_t maximumEventBytes;
  std::string pending;               ///< Start of an event whose end has not arrived.
  std::size_t lineStart = 0;         ///< Of the first line in `pending` that is not complete yet.
  std::size_t bytesWithoutField = 0; ///< Of comments and blank lines since the last event.
  bool failed = false;
};

/// Parses an event id as a decimal integer.
/// @return nothing if the id is not one
[[nodiscard]] std::optional<std::int64_t>
ParseEventNumber(std::string_view aId);

} // namespace lagoonward
