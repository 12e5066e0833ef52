#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/UniqueFd.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lagoonward::testing {

/// One step of a scripted server's response to a request.
struct ScriptStep
{
  enum class Kind
  {
    Send,   ///< Sends the bytes.
    Wait,   ///< Waits for the span, or until the other end closes; then the script is abandoned.
    Await,  ///< Waits until the condition holds, or as above.
    Close,  ///< Closes the connection with FIN.
    Finish, ///< Sends FIN, and goes on receiving until the other end closes.
    Reset,  ///< Closes the connection with RST.
    CloseAndStopListening, ///< Closes the connection with FIN and stops listening.
    ResetAndStopListening, ///< Closes the connection with RST and stops listening.
  };

  Kind kind = Kind::Send;
  std::string bytes;
  Milliseconds span{ 0 };
  std::function<bool()> condition = {}; ///< Called on the connection's thread, repeatedly.
};

using Script = std::vector<ScriptStep>;

/// A server on a free loopback port that sends exactly the bytes of a script, valid or not, so that tests can use
/// responses that no HTTP library would produce. One thread per connection.
class ScriptedServer
{
public:
  /// When the script begins.
  enum class Start
  {
    WholeRequest, ///< Once head and body were received.
    Head, ///< Once the head was received. The script must end the connection, as the body is not read.
  };

  /// Returns the script for a request. Called on any thread.
  using Handler = std::function<Script(const std::string& aRequest)>;

  /// @param aPort  port to listen on; zero selects a free one
  explicit ScriptedServer(Handler aHandler, std::uint16_t aPort = 0,
                          Start aStart = Start::WholeRequest);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return this->port; }

  /// All requests, as far as they are read, that scripts were begun for so far.
  [[nodiscard]] std::vector<std::string> Requests() const;

  /// Number of scripts of which all steps were run.
  [[nodiscard]] int CompletedScripts() const { return this->completed; }

  /// Number of connections whose other end closed during a Wait step.
  [[nodiscard]] int AbandonedScripts() const { return this->abandoned; }

private:
  void Accept();
  void Serve(int aSocket);
  [[nodiscard]] bool RunScript(int aSocket, const Script& aScript);

  Handler handler;
  Start start;
  UniqueFd listener;
  std::uint16_t port = 0;
  std::atomic<bool> stopping{ false };
  std::atomic<int> completed{ 0 };
  std::atomic<int> abandoned{ 0 };
  mutable std::mutex mutex; ///< Guards `requests` and `connections`.
  std::vector<std::string> requests;
  std::vector<std::thread> connections;
  std::thread acceptor;
};

} // namespace lagoonward::testing
