#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonward {

/// Cuts the bytes of a server-sent event stream (WHATWG HTML, section 9.2) into whole events without
/// changing a byte of them, so that a stream can be continued by another endpoint between two events.
/// The `data` fields are not looked at; EventStreamReader reads those.
class EventSplitter
{
public:
  /// @param aMaximumEventBytes  a longer event makes the splitter fail for good
  explicit EventSplitter(std::size_t aMaximumEventBytes);

  /// Takes bytes in and calls `aOnEvent(std::string_view bytes, std::string_view id)` for each event
  /// that they complete; the id is empty where the event has none.
  /// @return false when the stream is unusable
  template<typename Callback>
  bool Consume(std::string_view aBytes, Callback&& aOnEvent)
  {
    this->pending.append(aBytes);
    std::size_t start = 0;
    for (;;) {
      const std::size_t end = this->FindEnd(start);
      if (end == std::string::npos) {
        break;
      }
      const std::string_view event = std::string_view(this->pending).substr(start, end - start);
      aOnEvent(event, IdOf(event));
      start = end;
    }
    this->pending.erase(0, start);
    return this->pending.size() <= this->maximumEventBytes;
  }

  /// Whether bytes of an event came whose end is missing.
  [[nodiscard]] bool HasPartialEvent() const { return !this->pending.empty(); }

private:
  /// Position behind the blank line that ends the event at aStart, or npos.
  [[nodiscard]] std::size_t FindEnd(std::size_t aStart) const;
  [[nodiscard]] static std::string_view IdOf(std::string_view aEvent);

  std::size_t maximumEventBytes;
  std::string pending; ///< Start of an event whose end has not arrived.
};

/// The number that an event's id is, if it is one.
[[nodiscard]] std::optional<std::int64_t>
EventNumber(std::string_view aId);

} // namespace lagoonward
