#include "UnitTests/Relay/RelayFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// Headers that say more than one thing about where the body ends.
const std::vector<std::string> kContradictoryHeaders{
  "Content-Length: 8\r\nContent-Length: 3\r\n",
  "Content-Length: 3\r\nContent-Length: 8\r\n",
  "Content-Length: 3, 8\r\n",
  "Content-Length: 3x\r\n",
  "Transfer-Encoding : chunked\r\n",
  "Transfer-Encoding:\r\n chunked\r\n",
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayFramingTests)

/// Guards against a wrong part of a body that reaches the caller as a whole answer.
BOOST_DATA_TEST_CASE(ResponseWithContradictoryFramingIsNoAnswer,
                     boost::unit_test::data::make(kContradictoryHeaders), headers)
{
  const ScriptedServer server([&](const std::string&) {
    return Script{ { Kind::Send, "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n" + headers +
                                   "\r\n3\r\nabc\r\n0\r\n\r\n" },
                   { Kind::Close } };
  });
  RelayFixture relay({ &server });
  const Received received = relay.SendRequest(RelayKind::NonIdempotent);
  BOOST_TEST(!received.reply.has_value());
  BOOST_REQUIRE(received.error.has_value());
  BOOST_TEST((received.error->ran == Ran::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
