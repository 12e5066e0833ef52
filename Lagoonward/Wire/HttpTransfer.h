#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Names one transfer of a TrafficLoop.
using TransferId = std::uint64_t;

/// Tunables of outgoing HTTP.
struct HttpClientSettings
{
  Milliseconds connectTimeout{ 500 }; ///< Longest wait for a TCP connection within the region.
  int maximumIdleConnections = 256;   ///< Connections that each loop keeps open for reuse.
  /// Receive buffer of each transfer. A stream's tokens need little, and many streams are open at once.
  long receiveBufferBytes = 2048;
  /// Longest time that sent bytes may stay unacknowledged before the connection counts as lost. A host
  /// without power answers nothing at all; one that is only slow still acknowledges.
  Milliseconds unacknowledgedTimeout{ 2000 };
  /// Idle connections older than this are not used again: the other end may be about to close them.
  Seconds maximumIdleAge{ 118 };
};

/// One outgoing HTTP request.
struct HttpTransferRequest
{
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers; ///< Whole header lines, `Name: value`.
  std::string body;
  /// Sends at most once, on a kept connection or a new one. When a kept one turns out to be closed, the
  /// transfer ends as Broken instead of being sent again by the library.
  bool singleSend = false;
  /// Opens a new connection and sends at most once. Without it libcurl may send again on a new
  /// connection when a reused one turns out to be closed, which a non-idempotent call must not.
  bool freshConnection = false;
  Milliseconds timeout{ 0 }; ///< Limit for the whole transfer; zero for none.
  /// Asked on the loop right before the request leaves this host, which may be long after the transfer was started: a
  /// connection has to be opened first. False ends the transfer as NotSent. Empty for always.
  std::function<bool()> mayBeSent;
};

/// How a transfer ended.
enum class TransferOutcome
{
  Complete, ///< A whole response arrived; its status may still be an error.
  NotSent,  ///< Proven: nothing of the request left this host (connection refused or timed out).
  Broken,   ///< The connection failed after the request may have been sent.
  TimedOut, ///< The limit for the whole transfer passed after the request may have been sent.
};

/// The end of a transfer.
struct TransferEnd
{
  TransferOutcome outcome = TransferOutcome::Broken;
  int status = 0; ///< HTTP status; zero when no response began.
  bool isConnectionRefused =
    false;             ///< Nobody listens there: no new connection could be made, and that at once.
  std::string message; ///< What the library said; for logs.
};

/// Hears of one transfer. All calls come on the loop's thread.
class HttpTransferObserver
{
public:
  virtual ~HttpTransferObserver() = default;

  /// A header line of the response, without its line end. Also called for the status line.
  virtual void OnHeaderLine(std::string_view aLine) { static_cast<void>(aLine); }

  /// Bytes of the response body.
  /// @param aStatus  the response's HTTP status
  virtual void OnBytes(int aStatus, std::string_view aBytes) = 0;

  /// The transfer is over. The observer may be destroyed in this call.
  virtual void OnEnd(const TransferEnd& aEnd) = 0;
};

} // namespace lagoonward
