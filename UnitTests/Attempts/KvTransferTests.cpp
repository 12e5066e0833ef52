#include "Lagoonward/Attempts/KvTransfer.h"
#include "Lagoonward/Core/SystemClock.h"
#include "UnitTests/Support/ScriptedServer.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <future>
#include <mutex>
#include <set>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// An engine that exports and imports any state, and counts its connections.
struct Engine
{
  Engine()
    : server([this](const std::string&) {
      const std::lock_guard lock(this->mutex);
      // Each connection is served by a thread of its own
      this->connections.insert(std::this_thread::get_id());
      const std::string body = R"({"kv_id":"k-1"})";
      return Script{ { ScriptStep::Kind::Send,
                       fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(),
                                   body) } };
    })
  {
  }

  [[nodiscard]] std::string Address() const
  {
    return fmt::format("127.0.0.1:{}", this->server.Port());
  }

  std::mutex mutex;
  std::set<std::thread::id> connections;
  ScriptedServer server;
};

bool
Copy(TrafficLoop& aLoop, const Engine& aSource, const Engine& aTarget)
{
  std::promise<bool> done;
  KvTransfer transfer(aLoop, { aSource.Address(), aTarget.Address(), "s-1", Seconds(5) },
                      [&done](bool aSucceeded) { done.set_value(aSucceeded); });
  aLoop.Post([&transfer] { transfer.Start(); });
  const bool succeeded = done.get_future().get();
  // The transfer ends within the callback, on the loop
  std::promise<void> left;
  aLoop.Post([&left] { left.set_value(); });
  left.get_future().wait();
  return succeeded;
}

} // namespace

BOOST_AUTO_TEST_SUITE(KvTransferTests)

/// Guards against a stream that goes on from the state of another one: the replies name no stream, so a late one to an
/// earlier call must not be on the connection.
BOOST_AUTO_TEST_CASE(EachStepUsesANewConnection)
{
  const SystemClock clock;
  Engine source;
  Engine target;
  TrafficLoop loop(clock, {});
  loop.Start();
  for (int copy = 0; copy < 3; ++copy) {
    BOOST_TEST(Copy(loop, source, target));
  }
  BOOST_TEST(source.connections.size() == 3U);
  BOOST_TEST(target.connections.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
