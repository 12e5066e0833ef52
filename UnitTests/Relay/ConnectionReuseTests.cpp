#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Relay/ConnectionReuse.h"
#include "UnitTests/Relay/RelayFixture.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::uint64_t kEndpoint = 1;

/// An endpoint that sends an extra response to each request, right before the next response on the connection.
class StutteringEndpoint
{
public:
  [[nodiscard]] const ScriptedServer& Server() const { return this->server; }

  /// Requests that came on a connection that had carried another one.
  [[nodiscard]] int RequestsOnUsedConnections() const { return this->onUsedConnections; }

private:
  Script Respond()
  {
    const std::lock_guard lock(this->mutex);
    // Each connection is served by a thread of its own
    const bool isUsed = !this->connections.insert(std::this_thread::get_id()).second;
    this->onUsedConnections += isUsed ? 1 : 0;
    const std::string extra = MakeResponse("late", "200 OK", "Id: r0\r\nMark: m\r\n");
    return Send((isUsed ? extra : std::string()) + MakeResponse("own"));
  }

  std::mutex mutex;
  std::set<std::thread::id> connections;
  std::atomic<int> onUsedConnections{ 0 };
  ScriptedServer server{ [this](const std::string&) { return this->Respond(); } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionReuseTests)

BOOST_AUTO_TEST_CASE(EndpointIsSuspendedForAWhile)
{
  VirtualClock clock;
  ConnectionReuse reuse({ .suspendedFor = Seconds(10) }, clock);
  BOOST_TEST(!reuse.IsSuspended(kEndpoint));
  reuse.Suspend(kEndpoint);
  clock.Advance(Seconds(9));
  BOOST_TEST(reuse.IsSuspended(kEndpoint));
  BOOST_TEST(!reuse.IsSuspended(kEndpoint + 1));
  reuse.Suspend(kEndpoint);
  clock.Advance(Seconds(9));
  BOOST_TEST(reuse.IsSuspended(kEndpoint));
  clock.Advance(Seconds(1));
  BOOST_TEST(!reuse.IsSuspended(kEndpoint));
}

BOOST_AUTO_TEST_CASE(EndpointThatIsSuspendedForTheShortestTimeIsForgotten)
{
  VirtualClock clock;
  ConnectionReuse reuse({ .suspendedFor = Seconds(10), .maximumEndpoints = 2 }, clock);
  for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
    reuse.Suspend(endpoint);
    clock.Advance(Seconds(1));
  }
  BOOST_TEST(!reuse.IsSuspended(0));
  BOOST_TEST(reuse.IsSuspended(1));
  BOOST_TEST(reuse.IsSuspended(2));
}

/// Guards against callers that lose one response after the other to an endpoint that sends extra ones.
BOOST_AUTO_TEST_CASE(OnlyOneRequestIsLostToAnEndpointThatSendsExtraResponses)
{
  const StutteringEndpoint endpoint;
  RelayFixture relay({ &endpoint.Server() });
  int lost = 0;
  for (int turn = 0; turn < 12; ++turn) {
    const Received received = relay.SendRequest(RelayKind::NonIdempotent);
    lost += received.reply && received.reply->body == "own" ? 0 : 1;
  }
  BOOST_TEST(lost == 1);
  BOOST_TEST(endpoint.RequestsOnUsedConnections() == 1);
}

/// Once the suspension has ended, connections are used again.
BOOST_AUTO_TEST_CASE(ConnectionsAreReusedAfterTheSuspension)
{
  const StutteringEndpoint endpoint;
  RelaySettings settings;
  settings.connectionReuse.suspendedFor = Milliseconds(0);
  RelayFixture relay({ &endpoint.Server() }, {}, {}, nullptr, settings);
  for (int turn = 0; turn < 6; ++turn) {
    static_cast<void>(relay.SendRequest(RelayKind::NonIdempotent));
  }
  BOOST_TEST(endpoint.RequestsOnUsedConnections() == 3);
}

BOOST_AUTO_TEST_SUITE_END()
