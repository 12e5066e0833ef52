#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct MHD_Connection;

namespace lagoonward {

/// One header of a message.
using HttpHeader = std::pair<std::string, std::string>;

/// A whole request as it came in.
struct HttpRequest
{
  std::string method;
  std::string target; ///< Path and query exactly as the caller sent them.
  std::string path;   ///< Unescaped, without the query.
  std::vector<HttpHeader> headers;
  std::vector<HttpHeader> query;
  std::string body;

  /// The header's value, or an empty view. Names are compared without regard to case.
  [[nodiscard]] std::string_view Header(std::string_view aName) const;

  /// The query parameter's value, or an empty view.
  [[nodiscard]] std::string_view Query(std::string_view aName) const;
};

/// The answering side of one incoming request. An answer is either one piece, Respond(), or a
/// stream, BeginStream() then Write() and EndStream(). Safe from any thread.
class HttpExchange
{
public:
  explicit HttpExchange(MHD_Connection* aConnection);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  /// Answers in one piece. Ignored when an answer has begun or the caller has gone.
  void Respond(int aStatus, std::vector<HttpHeader> aHeaders, std::string aBody);

  /// Begins a streamed answer with chunked encoding.
  void BeginStream(int aStatus, std::vector<HttpHeader> aHeaders);

  /// Adds bytes to the streamed answer.
  /// @return false when the caller has gone, or more than the server's limit waits to be sent
  bool Write(std::string_view aBytes);

  /// Ends the streamed answer properly.
  void EndStream();

  /// Breaks the streamed answer off: the caller sees that it is not whole. Before any answer it closes
  /// the connection.
  void AbortStream();

  /// Called once if the connection is lost before the answer was sent whole. Runs on a server
  /// thread; set before the first answer call.
  void OnCallerGone(std::function<void()> aCallback);

  /// Looks at the socket whether the caller has closed it, or its sending half. True only when sure.
  /// A connection whose answer is pending is not read by the server, so nothing else would show it.
  [[nodiscard]] bool IsCallerGone();

private:
  friend class HttpServer;
  enum class State
  {
    Waiting,   ///< No answer yet.
    Ready,     ///< An answer is waiting to be queued.
    Streaming, ///< The streamed answer's head has been queued.
    Done,      ///< The connection has let go of this exchange.
  };

  /// Lets the server thread go on with the connection. Called with the mutex held.
  void ResumeLocked();

  std::mutex mutex;
  MHD_Connection* connection; ///< Owned by the server; null once done.
  State state = State::Waiting;
  bool suspended = false;
  bool streamed = false;
  bool ended = false;
  bool aborted = false;
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string bytes;    ///< Body, or the part of the stream that waits to be sent.
  std::size_t sent = 0; ///< How much of `bytes` has been handed over.
  std::function<void()> onCallerGone;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

} // namespace lagoonward
