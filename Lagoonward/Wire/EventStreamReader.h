#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lagoonward {

/// One event of a server-sent event stream. The views are valid during the callback only.
struct StreamEvent
{
  std::string_view type; ///< The `event` field; empty for the default type.
  std::string_view data; ///< The `data` fields, joined by line feeds.
  std::string_view id;   ///< The most recent `id` field; empty before the first.
};

/// Parses a server-sent event stream (WHATWG HTML, section 9.2) incrementally, from chunks of any size. A line or event
/// larger than the limit puts the reader into a permanent failed state. Not thread-safe.
class EventStreamReader
{
public:
  /// @param aMaximumEventBytes  maximum size of a line, and of the data of one event
  explicit EventStreamReader(std::size_t aMaximumEventBytes);

  /// Consumes bytes and calls `aOnEvent(const StreamEvent&)` for each completed event.
  /// @return false when the reader has failed; further bytes are ignored
  template<typename Callback>
  bool Consume(std::string_view aBytes, Callback&& aOnEvent)
  {
    while (!this->failed && !aBytes.empty()) {
      const std::size_t lineEnd = aBytes.find('\n');
      if (lineEnd == std::string_view::npos) {
        this->AppendPartialLine(aBytes);
        return !this->failed;
      }
      const std::string_view line = this->CompleteLine(aBytes.substr(0, lineEnd));
      aBytes.remove_prefix(lineEnd + 1);
      if (this->HandleLine(line)) {
        aOnEvent(StreamEvent{ this->type, this->data, this->lastId });
        this->ResetEvent();
      }
      this->partialLine.clear();
    }
    return !this->failed;
  }

private:
  void AppendPartialLine(std::string_view aBytes);
  [[nodiscard]] std::string_view CompleteLine(std::string_view aRest);
  /// @return true if the line ends an event that has data
  bool HandleLine(std::string_view aLine);
  void HandleField(std::string_view aName, std::string_view aValue);
  void ResetEvent();

  std::size_t maximumEventBytes;
  std::string partialLine; ///< Beginning of a line whose end has not been received.
  std::string type;
  std::string data;
  std::string lastId; ///< Retained across events, as the specification requires.
  bool hasData = false;
  bool failed = false;
};

} // namespace lagoonward
