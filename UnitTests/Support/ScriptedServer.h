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

/// What a scripted server does with one request, in order.
struct ScriptStep
{
  enum class Kind
  {
    Send,  ///< Sends the bytes.
    Wait,  ///< Waits, or until the other end has closed.
    Close, ///< Ends the connection properly.
    Reset, ///< Breaks the connection off.
    Die,   ///< Breaks the connection off, and takes no new ones from here on.
  };

  Kind kind = Kind::Send;
  std::string bytes;
  Milliseconds span{ 0 };
};

using Script = std::vector<ScriptStep>;

/// A server on a free loopback port that sends exactly the bytes it is told to, right or wrong, so that
/// tests see what comes of answers that no library would write. One thread a connection.
class ScriptedServer
{
public:
  /// @param aHandler  the script for a request, given whole with head and body; any thread
  using Handler = std::function<Script(const std::string& aRequest)>;

  explicit ScriptedServer(Handler aHandler);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return this->port; }

  /// Requests so far, whole.
  [[nodiscard]] std::vector<std::string> Requests() const;

  /// Connections whose other end closed while a script waited.
  [[nodiscard]] int Abandoned() const { return this->abandoned; }

private:
  void Accept();
  void Serve(int aSocket);
  [[nodiscard]] bool Play(int aSocket, const Script& aScript);

  Handler handler;
  UniqueFd listener;
  std::uint16_t port = 0;
  std::atomic<bool> stopping{ false };
  std::atomic<int> abandoned{ 0 };
  mutable std::mutex mutex; ///< Guards what follows.
  std::vector<std::string> requests;
  std::vector<std::thread> connections;
  std::thread acceptor;
};

} // namespace lagoonward::testing
