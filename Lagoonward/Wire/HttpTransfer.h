#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/SharedBytes.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Identifies a transfer of a TrafficLoop.
using TransferId = std::uint64_t;

/// Settings of outgoing HTTP connections.
struct HttpClientSettings
{
  Milliseconds connectTimeout{ 500 }; ///< Timeout of a TCP connection attempt within the region.
  int maximumIdleConnections = 256;   ///< Open connections that each loop keeps for reuse.
  /// Receive buffer of each transfer. Small, because token events are short and many streams are open at the same time.
  long receiveBufferBytes = 2048;
  /// Limit of all header lines of a response, with those of interim responses and of trailers. A transfer with more ends as
  /// Stopped.
  std::size_t maximumHeadBytes = 64U << 10U;
  /// Time after which a connection with unacknowledged bytes is treated as lost. A host without power sends no
  /// acknowledgements, while the kernel of an overloaded host still does.
  Milliseconds unacknowledgedTimeout{ 2000 };
  /// Connections idle for longer than this are not reused, because the peer may be about to close them.
  Seconds maximumIdleAge{ 118 };
};

/// One outgoing HTTP request.
struct HttpTransferRequest
{
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers; ///< Complete header lines, `Name: value`.
  SharedBytes body;
  /// Sends the request at most once, on a reused or a new connection. When a reused connection is already closed, the
  /// transfer ends as Broken instead of being sent again by libcurl.
  bool singleSend = false;
  /// Opens a new connection and sends the request at most once. Otherwise libcurl may send it again on a new
  /// connection when a reused one is already closed, which is not allowed for a non-idempotent call.
  bool freshConnection = false;
  /// Closes the connection after the response, so that no other request uses it.
  bool closesConnection = false;
  Milliseconds timeout{ 0 }; ///< Timeout of the complete transfer; zero for none.
  /// Called on the loop's thread immediately before the request is sent, which may be long after the transfer was
  /// started because a connection has to be opened first. Returning false ends the transfer as NotSent. Empty means
  /// true.
  std::function<bool()> mayBeSent;
};

/// How a transfer ended.
enum class TransferOutcome
{
  Complete, ///< A complete response was received; its status may be an error.
  NotSent,  ///< Certain: no byte of the request was sent (connection refused or timed out).
  Broken,   ///< The connection failed after the request may have been sent.
  TimedOut, ///< The transfer's timeout expired after the request may have been sent.
  /// The response is of no use (see TrafficLoop::StopTransfer()), has too many header lines, or its head is not that of one
  /// response (see ResponseHeadCheck). Nothing in it may be used that was not proven before.
  Stopped,
};

/// What marks the end of a response's body (RFC 9112, section 6.3).
enum class BodyEnd
{
  None, ///< There was no complete head.
  Stated, ///< A length, chunks, or a status that has no body: what was closed before it is incomplete.
  Connection, ///< The end of the connection alone: a part looks like the whole body if the server stops early.
};

/// Name for logs and metrics, for example "connection".
[[nodiscard]] std::string_view
ToString(BodyEnd aEnd);

/// What is known of a response once its head is complete.
struct TransferHead
{
  int status = 0; ///< HTTP status of the final response, not of an interim (1xx) one.
  /// No other response was received on this connection before, so that this one can't belong to an earlier request.
  bool isFirstOnConnection = false;
};

/// The result of a transfer.
struct TransferEnd
{
  TransferOutcome outcome = TransferOutcome::Broken;
  int status = 0;                ///< HTTP status; zero if no response was received.
  bool isWithheld = false;       ///< HttpTransferRequest::mayBeSent returned false.
  bool hasMalformedHead = false; ///< The response's head is not that of one HTTP response.
  bool isConnectionRefused =
    false; ///< The connection attempt failed immediately: nothing listens there.
  /// The response ended with its connection before the request was sent, so whether it is complete cannot be known.
  bool isLengthUnknown = false;
  BodyEnd bodyEnd =
    BodyEnd::None; ///< What marks the end of the response's body, whether or not it was reached.
  /// As in TransferHead; also known if the head never was complete. Of no meaning for NotSent.
  bool isFirstOnConnection = false;
  std::string message; ///< Error text for logs.
};

/// Receives the events of one transfer. All calls are made on the loop's thread.
class HttpTransferObserver
{
public:
  virtual ~HttpTransferObserver() = default;

  /// Called for each header line of the response, without its line end, and for the status line.
  virtual void OnHeaderLine(std::string_view aLine) { static_cast<void>(aLine); }

  /// Called once when the head of the final response is complete, before its body.
  virtual void OnHeadComplete(const TransferHead& aHead) { static_cast<void>(aHead); }

  /// Called with bytes of the response body.
  /// @param aStatus  the response's HTTP status
  virtual void OnBytes(int aStatus, std::string_view aBytes) = 0;

  /// Called once when the transfer has ended. The observer may be destroyed in this call.
  virtual void OnEnd(const TransferEnd& aEnd) = 0;
};

} // namespace lagoonward
