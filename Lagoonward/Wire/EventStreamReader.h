#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lagoonward {

/// One event of a server-sent event stream. Views are valid only during the callback.
struct StreamEvent
{
  std::string_view type; ///< The `event` field; empty for the default type.
  std::string_view data; ///< The `data` fields, joined by line feeds.
  std::string_view id;   ///< The last `id` field so far; empty while there was none.
};

/// Splits the bytes of a server-sent event stream (WHATWG HTML, section 9.2) into events. Bytes may
/// arrive in pieces of any size. Events larger than the limit make the reader fail for good.
class EventStreamReader
{
public:
  /// @param aMaximumEventBytes  largest line, and largest data of one event
  explicit EventStreamReader(std::size_t aMaximumEventBytes);

  /// Consumes bytes and calls `aOnEvent(const StreamEvent&)` for each event that they complete.
  /// @return false when the stream is unusable; further bytes are then ignored
  template<typename Callback>
  bool Consume(std::string_view aBytes, Callback&& aOnEvent)
  {
    while (!this->failed && !aBytes.empty()) {
      const std::size_t lineEnd = aBytes.find('\n');
      if (lineEnd == std::string_view::npos) {
        this->KeepPartialLine(aBytes);
        return !this->failed;
      }
      const std::string_view line = this->CompleteLine(aBytes.substr(0, lineEnd));
      aBytes.remove_prefix(lineEnd + 1);
      if (this->TakeLine(line)) {
        aOnEvent(StreamEvent{ this->type, this->data, this->lastId });
        this->ResetEvent();
      }
      this->partialLine.clear();
    }
    return !this->failed;
  }

private:
  void KeepPartialLine(std::string_view aBytes);
  [[nodiscard]] std::string_view CompleteLine(std::string_view aRest);
  /// @return whether the line ends an event that has data
  bool TakeLine(std::string_view aLine);
  void TakeField(std::string_view aName, std::string_view aValue);
  void ResetEvent();

  std::size_t maximumEventBytes;
  std::string partialLine; ///< Start of a line whose end has not arrived.
  std::string type;
  std::string data;
  std::string lastId; ///< Outlasts its event, as the specification has it.
  bool hasData = false;
  bool failed = false;
};

} // namespace lagoonward
