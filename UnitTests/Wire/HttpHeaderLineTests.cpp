#include "Lagoonward/Wire/HttpHeaderLine.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(HttpHeaderLineTests)

BOOST_AUTO_TEST_CASE(HeaderLinesAreParsed)
{
  BOOST_TEST((ParseHeaderLine("Name: value: more") == HttpHeader("Name", "value: more")));
  BOOST_TEST((ParseHeaderLine("Name:") == HttpHeader("Name", "")));
  BOOST_TEST(!ParseHeaderLine("no header").has_value());
  BOOST_TEST(IsStatusLine("HTTP/1.1 200 OK"));
  BOOST_TEST(!IsStatusLine("Name: HTTP/1.1"));
}

// Guards against headers of one connection that reach the next one through a daemon in between
BOOST_AUTO_TEST_CASE(HopByHopHeadersAreRemovedIncludingThoseThatConnectionNames)
{
  const std::vector<HttpHeader> headers{ { "Host", "a" },
                                         { "connection", "keep-alive, X-Hop" },
                                         { "x-hop", "1" },
                                         { "Transfer-Encoding", "chunked" },
                                         { "X-Kept", "2" } };
  const std::vector<HttpHeader> kept = EndToEndHeaders(headers);
  BOOST_REQUIRE(kept.size() == 2U);
  BOOST_TEST(kept[0].first == "Host");
  BOOST_TEST(kept[1].first == "X-Kept");
}

BOOST_AUTO_TEST_SUITE_END()
