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

/// State of one TCP connection, over all requests that come on it.
struct ConnectionState
{
  std::atomic<bool> silent{ false }; ///< Nothing is read or sent on it any more, for good.
};

/// One request and its answer, which may come at once or later, whole or in pieces, from any
/// thread. All methods are safe from any thread; once the caller has gone they do nothing.
class HttpExchange
{
public:
  using Headers = std::vector<std::pair<std::string, std::string>>;

  HttpExchange(MHD_Connection* aConnection, std::shared_ptr<ConnectionState> aState,
               const std::atomic<bool>& aStopping);

  [[nodiscard]] const HttpRequest& Request() const { return this->request; }

  /// Answers whole. Only the first answer counts.
  void Respond(int aStatus, std::string aBody, std::string_view aContentType = "application/json",
               Headers aHeaders = {});

  /// Starts an answer in pieces, as server-sent events.
  void BeginStream();

  /// Sends one more piece of a begun stream.
  void Write(std::string_view aPiece);

  /// Ends a begun stream in good order.
  void End();

  /// Closes the connection without (the rest of) an answer; pieces already given are still sent.
  void Abort();

  /// From here on the answer is lost: whatever is given closes the connection instead.
  void DropAnswer();

  /// Called once when the connection has ended before the answer was complete.
  void OnGone(std::function<void()> aCallback);

  /// Whether the caller can no longer be reached.
  [[nodiscard]] bool IsGone() const;

private:
  friend class HttpServer;

  enum class Phase
  {
    Waiting,   ///< No answer yet.
    Answered,  ///< A whole answer is ready.
    Streaming, ///< An answer in pieces has begun.
    Ended,     ///< The last piece has been given.
    Aborted,   ///< The connection is to be closed.
  };

  struct ResponseDeleter
  {
    void operator()(MHD_Response* aResponse) const;
  };
  using ResponsePointer = std::unique_ptr<MHD_Response, ResponseDeleter>;

  /// Runs on the server's thread: hands over the answer, or parks the connection.
  MHD_Result Advance();

  /// What is to be sent. Needs the mutex.
  ResponsePointer BuildResponse();

  /// Fills MHD's buffer with the next bytes of a stream, or parks the connection.
  ssize_t Read(char* aBuffer, std::size_t aRoom);
  static ssize_t ReadCallback(void* aSelf, std::uint64_t aPosition, char* aBuffer,
                              std::size_t aRoom);

  /// Parks the connection until there is something to do. Needs the mutex.
  void Park();

  /// Wakes a parked connection. Needs the mutex.
  void Wake();

  /// The server is done with the connection.
  void MarkGone();

  HttpRequest request;
  mutable std::mutex mutex;
  MHD_Connection* connection;
  std::shared_ptr<ConnectionState> state;
  const std::atomic<bool>& stopping;
  Phase phase = Phase::Waiting;
  bool started = false; ///< The handler has seen the request.
  bool parked = false;
  bool gone = false;
  bool begun = false;   ///< An answer in pieces has begun.
  bool dropped = false; ///< The answer is to be lost.
  int status = 0;
  std::string contentType;
  Headers headers;
  std::string buffer;    ///< The whole answer, or bytes not yet taken by the server.
  std::size_t taken = 0; ///< How much of the buffer has been sent.
  std::function<void()> onGone;
};

} // namespace lagoonward::standins
