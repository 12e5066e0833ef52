#include "Lagoonward/Core/UniqueFd.h"
#include "Lagoonward/Wire/ResetOnClose.h"
#include "UnitTests/Support/RawClient.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>
#include <string>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// Both ends of a connection: the accepted one, to which the server has written, and the caller's.
struct Fixture
{
  Fixture()
  {
    const UniqueFd listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* const any = reinterpret_cast<sockaddr*>(&address);
    BOOST_TEST_REQUIRE(::bind(listener.Get(), any, length) == 0);
    BOOST_TEST_REQUIRE(::listen(listener.Get(), 1) == 0);
    BOOST_TEST_REQUIRE(::getsockname(listener.Get(), any, &length) == 0);
    this->caller.emplace(ntohs(address.sin_port));
    this->accepted = UniqueFd(::accept(listener.Get(), nullptr, nullptr));
    BOOST_TEST_REQUIRE(::send(this->accepted.Get(), "part", 4, MSG_NOSIGNAL) == 4);
    this->end.emplace(this->accepted.Get());
  }

  std::optional<RawClient> caller;
  UniqueFd accepted;
  std::optional<ResetOnClose> end;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ResetOnCloseTests, Fixture)

/// Guards against a part that looks whole as the process was killed: then the kernel closes its sockets.
BOOST_AUTO_TEST_CASE(ConnectionThatIsClosedBeforeItsReleaseIsReset)
{
  this->end.reset();
  this->accepted.Reset();
  BOOST_TEST(this->caller->ReadToEnd() == "part");
  BOOST_TEST(this->caller->WasReset());
}

BOOST_AUTO_TEST_CASE(ResetTakesEffectBeforeTheCloseAndBeforeAShutdown)
{
  this->end->Reset();
  ::shutdown(this->accepted.Get(), SHUT_WR);
  BOOST_TEST(this->caller->ReadToEnd() == "part");
  BOOST_TEST(this->caller->WasReset());
}

BOOST_AUTO_TEST_CASE(ReleasedConnectionEndsInAnOrderlyWay)
{
  this->end->Release();
  this->end->Reset();
  this->accepted.Reset();
  BOOST_TEST(this->caller->ReadToEnd() == "part");
  BOOST_TEST(!this->caller->WasReset());
}

BOOST_AUTO_TEST_SUITE_END()
