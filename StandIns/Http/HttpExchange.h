#pragma once

#include "StandIns/Http/HttpRequest.h"

#include <microhttpd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoonward::standins {

/// State of one TCP connection, shared by all its requests.
struct ConnectionState
{
  std::atomic<bool> silent{ false }; ///< No data is processed or sent on it any more.
};

/// One request and its response, which can be given immediately or later, complete or streamed, from any
/// thread. All methods are thread-safe; they have no effect after the client has disconnected.
class HttpExchange
{
public:
  using Headers = std::vector<std::pair<std::string, std::string>>;

  HttpExchange(MHD_Connection* aConnection, std::shared_ptr<ConnectionState> aState,
               const std::atomic<bool>& aStopping);

  [[nodiscard]] const HttpRequest& Request() const { return this->request; }

  /// Sends a complete response. Only the first response takes effect.
  void Respond(int aStatus, std::string aBody, std::string_view aContentType = "application/json",
               Headers aHeaders = {});

  /// Starts a streamed response of server-sent events.
  void BeginStream();

  /// Appends data to a streamed response.
  void Write(std::string_view aPiece);

  /// Completes a streamed response.
  void End();

  /// Closes the connection without (the rest of) a response; streamed data already written is still sent.
  void Abort();

  /// Discards the response: from now on, giving a response closes the connection instead.
  void DropAnswer();

  /// Sets a function that is called once when the server is done with the request, in particular when the
  /// client disconnected before the response was complete; immediately if that is already the case.
  void OnDisconnected(std::function<void()> aCallback);

  /// Whether the connection is no longer available.
  [[nodiscard]] bool IsDisconnected() const;

private:
  friend class HttpServer;

  enum class Phase
  {
    Waiting,   ///< No response yet.
    Answered,  ///< A complete response is ready.
    Streaming, ///< A streamed response has started.
    Ended,     ///< The streamed response is complete.
    Aborted,   ///< The connection is to be closed.
  };

  struct ResponseDeleter
  {
    void operator()(MHD_Response* aResponse) const;
  };
  using ResponsePointer = std::unique_ptr<MHD_Response, ResponseDeleter>;

  /// Runs on the server's thread: queues the response, or suspends the connection until there is one.
  MHD_Result SendOrSuspend();

  /// Builds the response. Requires the mutex.
  ResponsePointer BuildResponse();

  /// Fills MHD's buffer with the next bytes of a stream, or suspends the connection if there are none.
  ssize_t Read(char* aBuffer, std::size_t aRoom);
  static ssize_t ReadCallback(void* aSelf, std::uint64_t aPosition, char* aBuffer,
                              std::size_t aRoom);

  /// Suspends the connection until Resume(). Requires the mutex.
  void Suspend();

  /// Resumes a suspended connection. Requires the mutex.
  void Resume();

  /// Called when the server is done with the request; runs the OnDisconnected() callback.
  void MarkDisconnected();

  HttpRequest request;
  mutable std::mutex mutex;
  MHD_Connection* connection;
  std::shared_ptr<ConnectionState> state;
  const std::atomic<bool>& stopping;
  Phase phase = Phase::Waiting;
  bool dispatched = false; ///< The request has been passed to the handler.
  bool suspended = false;
  bool disconnected = false;
  bool streamBegun = false;   ///< A streamed response has started.
  bool answerDropped = false; ///< The response is to be discarded.
  int status = 0;
  std::string contentType;
  Headers headers;
  std::string buffer;        ///< The complete response, or streamed data that is not yet sent.
  std::size_t sentBytes = 0; ///< Number of bytes of the buffer that have been sent.
  std::function<void()> onDisconnected;
};

} // namespace lagoonward::standins
