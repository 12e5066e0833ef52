#include "Lagoonward/Core/ListenSocket.h"
#include "Lagoonward/Membership/PeerSockets.h"
#include "Lagoonward/Wire/HttpServer.h"

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>

#include <thread>

using namespace lagoonward;

namespace {

constexpr Milliseconds kInUseFor{ 300 };
/// Not that of other tests, whose closed connections occupy ports for a minute.
constexpr const char* kAddress = "127.0.0.77";

/// A socket of the type at a free port.
UniqueFd
OpenAnywhere(int aType)
{
  return std::move(
    OpenListenSocket(aType, ToSocketAddress(kAddress, 0).value(), Milliseconds(0)).value());
}

sockaddr_in
AddressOf(const UniqueFd& aSocket)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  ::getsockname(aSocket.Get(), reinterpret_cast<sockaddr*>(&address), &length);
  return address;
}

/// Calls aStart while the socket's port is in use, and closes the socket some time later.
template<typename Start>
auto
StartBeside(UniqueFd aSocket, Start aStart)
{
  std::thread closer([&] {
    std::this_thread::sleep_for(kInUseFor);
    aSocket.Reset();
  });
  auto result = aStart(ntohs(AddressOf(aSocket).sin_port));
  closer.join();
  return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ListenSocketTests)

BOOST_AUTO_TEST_CASE(FaultNamesTheAddressAndTheReason)
{
  BOOST_TEST(!ToSocketAddress("host", 1).has_value());
  for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
    const UniqueFd used = OpenAnywhere(type);
    const auto again = OpenListenSocket(type, AddressOf(used), Milliseconds(100));
    BOOST_TEST_REQUIRE(!again.has_value());
    BOOST_TEST(again.error().message.find(std::string(kAddress) + ":") != std::string::npos);
    BOOST_TEST(again.error().message.find("in use") != std::string::npos);
  }
}

// Guards against a daemon that ends at its start, again and again, as one of its ports is in use for a moment.
BOOST_AUTO_TEST_CASE(AddressThatIsInUseForAMomentIsWaitedFor)
{
  for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
    const auto opened = StartBeside(
      OpenAnywhere(type), [](std::uint16_t aPort) { return PeerSockets::Open(kAddress, aPort); });
    BOOST_TEST(opened.has_value());
  }
  const auto started = StartBeside(OpenAnywhere(SOCK_STREAM), [](std::uint16_t aPort) {
    HttpServerSettings settings;
    settings.address = kAddress;
    settings.port = aPort;
    HttpServer server(settings, [](const HttpRequest&, const HttpExchangePtr&) {});
    auto result = server.Start();
    BOOST_TEST(server.Port() == aPort);
    server.Stop();
    return result;
  });
  BOOST_TEST(started.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
