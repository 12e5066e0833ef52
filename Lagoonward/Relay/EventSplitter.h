#pragma once

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
  /// @param aMaximumEventBytes  size limit of one event; after a longer one Consume() keeps returning false
  explicit EventSplitter(std::size_t aMaximumEventBytes);

  /// Appends bytes and calls `aOnEvent(std::string_view bytes, std::string_view id)` for each event that they
  /// complete. The id is empty if the event has none.
  /// @return false if the unfinished event exceeds the size limit
  template<typename Callback>
  bool Consume(std::string_view aBytes, Callback&& aOnEvent)
  {
    this->pending.append(aBytes);
    std::size_t start = 0;
    for (;;) {
      const std::size_t end = this->FindEventEnd(start);
      if (end == std::string::npos) {
        break;
      }
      const std::string_view event = std::string_view(this->pending).substr(start, end - start);
      aOnEvent(event, FindEventId(event));
      start = end;
    }
    this->pending.erase(0, start);
    return this->pending.size() <= this->maximumEventBytes;
  }

  /// Whether an event has begun whose end has not arrived.
  [[nodiscard]] bool HasPartialEvent() const { return !this->pending.empty(); }

private:
  /// Position after the blank line that ends the event at aStart, or npos.
  [[nodiscard]] std::size_t FindEventEnd(std::size_t aStart) const;
  [[nodiscard]] static std::string_view FindEventId(std::string_view aEvent);

  std::size_t maximumEventBytes;
  std::string pending; ///< Start of an event whose end has not arrived.
};

/// Parses an event id as a decimal integer.
/// @return nothing if the id is not one
[[nodiscard]] std::optional<std::int64_t>
ParseEventNumber(std::string_view aId);

} // namespace lagoonward
