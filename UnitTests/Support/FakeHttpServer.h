#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

struct MHD_Daemon;
struct MHD_Connection;

namespace lagoonward::testing {

/// A request that a fake server received.
struct FakeRequest
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::string body;
};

/// Response of a fake server.
struct FakeAnswer
{
  int status = 200;
  std::string body;
  std::map<std::string, std::string> headers;
  bool silent =
    false; ///< Sends no response; the connection is closed when the server is destroyed.
};

/// A small HTTP server on a free loopback port, for tests of clients. The handler runs on one thread
/// per connection.
class FakeHttpServer
{
public:
  using Handler = std::function<FakeAnswer(const FakeRequest&)>;

  explicit FakeHttpServer(Handler aHandler);
  ~FakeHttpServer();
  FakeHttpServer(const FakeHttpServer&) = delete;
  FakeHttpServer& operator=(const FakeHttpServer&) = delete;

  [[nodiscard]] std::string Url() const;

  /// Called by libmicrohttpd for each request that has been received completely.
  [[nodiscard]] bool Answer(MHD_Connection* aConnection, const FakeRequest& aRequest);

private:
  Handler handler;
  std::mutex mutex; ///< Guards `stopping`.
  std::condition_variable changed;
  bool stopping = false;
  MHD_Daemon* daemon = nullptr;
};

} // namespace lagoonward::testing
