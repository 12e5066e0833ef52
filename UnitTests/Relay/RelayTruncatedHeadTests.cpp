#include "UnitTests/Relay/RelayFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// Heads that end before their empty line.
const std::vector<std::string> kTruncatedHeads{
  "HTTP/1.1 200 OK\r\n",
  "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n",
  "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nContent-Ty",
  "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nContent-Type: text/event-stream\r\n",
  "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nContent-Length: 0\r\n",
  "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n",
  "HTTP/1.1 100 Continue\r\n\r\n",
  "HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nNot-Run: 1\r\n",
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayTruncatedHeadTests)

/// Guards against an empty or short success: an endpoint that stops within the head of its response and closes.
BOOST_DATA_TEST_CASE(ResponseThatEndsWithinItsHeadIsIncomplete,
                     boost::unit_test::data::make(kTruncatedHeads), head)
{
  for (const RelayKind kind : { RelayKind::NonIdempotent, RelayKind::Stream }) {
    const ScriptedServer server([&](const std::string&) {
      return Script{ { Kind::Send, head }, { Kind::Close } };
    });
    RelayFixture relay({ &server });
    const Received received = relay.SendRequest(kind);
    BOOST_TEST(!received.reply.has_value());
    BOOST_TEST(!received.streamed);
    BOOST_REQUIRE(received.error.has_value());
    BOOST_TEST((received.error->ran == Ran::Unknown));
  }
}

BOOST_AUTO_TEST_SUITE_END()
