#pragma once

#include "Lagoonward/Core/SharedBytes.h"
#include "Lagoonward/Wire/ResetOnClose.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct MHD_Connection;

namespace lagoonward {

/// Name and value of one header.
using HttpHeader = std::pair<std::string, std::string>;

/// A complete request as received.
struct HttpRequest
{
  std::string method;
  std::string target; ///< Path and query as sent by the caller, not normalized.
  std::string path;   ///< Unescaped, without the query.
  std::vector<HttpHeader> headers;
  std::vector<HttpHeader> query;
  SharedBytes body;
  /// Time since another daemon received the request from its caller, if that daemon forwarded it.
  std::chrono::milliseconds age{ 0 };

  /// Returns the header's value, or an empty view. Names are case-insensitive.
  [[nodiscard]] std::string_view Header(std::string_view aName) const;

  /// Returns the query parameter's value, or an empty view.
  [[nodiscard]] std::string_view Query(std::string_view aName) const;
};

/// The response side of one incoming request. The response is either sent at once with Respond(), or streamed with
/// BeginStream(), Write() and EndStream(). Thread-safe.
class HttpExchange
{
public:
  explicit HttpExchange(MHD_Connection* aConnection);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  /// Sends the complete response. Ignored when a response has begun or the caller has disconnected.
  void Respond(int aStatus, std::vector<HttpHeader> aHeaders, std::string aBody);

  /// Begins a streamed response with chunked encoding, or without for a caller that speaks HTTP/1.0. That one's connection
  /// ends with the response: in an orderly way if the response is complete, with a reset if it is not.
  void BeginStream(int aStatus, std::vector<HttpHeader> aHeaders);

  /// Appends bytes to the streamed response.
  /// @return false when the caller has disconnected, or the unsent bytes would exceed the server's limit
  bool Write(std::string_view aBytes);

  /// Ends the streamed response normally.
  void EndStream();

  /// Aborts the streamed response, so that the caller can detect that it is incomplete. Closes the connection if
  /// no response has begun.
  void AbortStream();

  /// Drops what the caller has not received, so that it occupies no memory, and closes the connection, so that the caller
  /// can detect that the response is incomplete.
  void Discard();

  /// Bytes of memory that the response occupies; zero once the caller has received it.
  [[nodiscard]] std::size_t HeldBytes();

  /// Sets a callback that is called once if the connection is lost before the response was sent completely. It runs on
  /// a server thread. Must be set before the first call that responds.
  void OnCallerDisconnected(std::function<void()> aCallback);

  /// Polls the socket for whether the caller has closed it, or its sending half. Returns true only when certain.
  /// The server does not read from a connection whose response is pending, so it would not detect the close otherwise.
  [[nodiscard]] bool IsCallerDisconnected();

private:
  friend class HttpServer;
  enum class State
  {
    Waiting,   ///< No response yet.
    Ready,     ///< A response is ready to be queued.
    Streaming, ///< The response has been queued.
    Done,      ///< The server has finished with this exchange.
  };

  /// Resumes the connection on its server thread if it is suspended. Called with the mutex held.
  void ResumeLocked();
  /// Resets the connection of an unfinished stream that has no chunks. Any thread.
  void ResetUndelimitedStream();
  /// Frees the memory of bytes of a stream that have been passed to the server. Called with the mutex held.
  void FreeSentLocked();

  std::mutex mutex;
  MHD_Connection* connection; ///< Owned by the server; null in State::Done.
  State state = State::Waiting;
  bool suspended = false;
  bool streamed = false;
  bool ended = false;
  bool aborted = false;
  std::optional<ResetOnClose> resetOnClose; ///< While a stream without chunks is being sent.
  bool isDiscarded = false; ///< A complete response was dropped before the server began to send it.
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string bytes;    ///< The body, or the buffered part of the stream.
  std::size_t sent = 0; ///< Number of bytes of `bytes` passed to the server.
  std::function<void()> onCallerDisconnected;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

} // namespace lagoonward
