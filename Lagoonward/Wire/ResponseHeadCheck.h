#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lagoonward {

/// Checks line by line that the head of an HTTP/1 response is that of one response. A server may send the beginning of an
/// extra response before the one that is due; if it ends within a line, that line holds the start of the due response as
/// well. libcurl accepts such a line, and would report the status of one response with the body of the other.
/// Nor is a head accepted that says more than one thing about where its body ends (RFC 9112, section 6.3), as libcurl picks
/// one of them.
/// Covers interim (1xx) responses before the final one, and trailers. Not thread-safe.
class ResponseHeadCheck
{
public:
  /// @param aLine  the next status line, header line, empty line or trailer, without its line end
  /// @return false if the lines so far can't be the head of one response; the response must not be used then
  [[nodiscard]] bool Accept(std::string_view aLine);

  /// Whether the head of the final response is complete.
  [[nodiscard]] bool IsComplete() const { return this->expected == Expected::Trailer; }

  /// Whether the final response states where its body ends, rather than by the end of its connection.
  [[nodiscard]] bool IsDelimited() const;

  /// What is wrong, for logs; empty while all lines were accepted.
  [[nodiscard]] const std::string& Fault() const { return this->fault; }

private:
  enum class Expected
  {
    StatusLine,
    Header,
    Trailer,
  };

  [[nodiscard]] bool AcceptStatusLine(std::string_view aLine);
  [[nodiscard]] bool AcceptHeader(std::string_view aLine);
  /// Accepts a header that says where the body ends.
  /// @param aName  of the header, the beginning of the line
  [[nodiscard]] bool AcceptFraming(std::string_view aLine, std::string_view aName);
  bool Reject(std::string_view aReason, std::string_view aLine);

  Expected expected = Expected::StatusLine;
  bool isInterim = false; ///< The status line was that of an interim response.
  bool hasNoBody = false; ///< The status allows none.
  /// Whether `chunked` is the last transfer coding of the current head; nothing if it has no coding.
  std::optional<bool> isChunked;
  bool isInFraming = false;  ///< The last header line says where the body ends.
  std::string contentLength; ///< Of the current head; empty if it has none.
  std::string fault;
};

} // namespace lagoonward
