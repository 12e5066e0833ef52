#include "Lagoonward/Wire/ResponseHeadCheck.h"

#include <boost/test/unit_test.hpp>

#include <initializer_list>
#include <string>
#include <vector>

using namespace lagoonward;

namespace {

using Lines = std::vector<std::string>;

bool
IsAccepted(const Lines& aLines)
{
  ResponseHeadCheck check;
  for (const std::string& line : aLines) {
    if (!check.Accept(line)) {
      BOOST_TEST(!check.Fault().empty());
      return false;
    }
  }
  BOOST_TEST(check.Fault().empty());
  return true;
}

bool
IsDelimited(const Lines& aLines)
{
  ResponseHeadCheck check;
  for (const std::string& line : aLines) {
    BOOST_TEST(check.Accept(line));
  }
  return check.IsDelimited();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResponseHeadCheckTests)

BOOST_AUTO_TEST_CASE(HeadsOfOneResponseAreAccepted)
{
  BOOST_TEST(IsAccepted({ "HTTP/1.1 200 OK", "A: b", "Date: Sat, 01 Jan 2000 00:00:00 GMT", "" }));
  BOOST_TEST(IsAccepted({ "HTTP/1.0 500", "" }));
  BOOST_TEST(IsAccepted({ "HTTP/1.1 505 HTTP Version Not Supported", "" }));
  BOOST_TEST(IsAccepted({ "HTTP/1.1 200 OK", "Via: HTTP/1.1 proxy:80", "Upgrade: HTTP/2.0", "" }));
  BOOST_TEST(IsAccepted({ "HTTP/1.1 200 OK", "Empty:", "Spaced : value", " continued", "" }));
  BOOST_TEST(IsAccepted({ "HTTP/1.1 200 OK", "Name: caf\xc3\xa9\t!", "" }));
  BOOST_TEST(IsAccepted({ "HTTP/1.1 100 Continue", "", "HTTP/1.1 103 Early Hints", "Link: a", "",
                          "HTTP/1.1 200 OK", "" }));
  BOOST_TEST(IsAccepted({ "HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", "Trailer: a", "" }));
}

BOOST_AUTO_TEST_CASE(StartOfAnotherResponseWithinALineIsRejected)
{
  const std::string next = "HTTP/1.1 500 Internal Server Error";
  for (const std::string beginning :
       { "H", "HTTP/", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 2", "HTTP/1.1 200", "HTTP/1.1 200 ",
         "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r", "\r" }) {
    BOOST_TEST(!IsAccepted({ beginning + next }), beginning);
  }
  for (const std::string line : { "Da", "Date", "Date:", "Date: Sat, 01 J", "Id: 9c41d07be2a35f68",
                                  "Content-Length: 1", "Date: Sat\r", " ", "\r" }) {
    BOOST_TEST(!IsAccepted({ "HTTP/1.1 200 OK", line + next }), line);
  }
}

BOOST_AUTO_TEST_CASE(StatusLineOutsideTheBeginningOfAHeadIsRejected)
{
  BOOST_TEST(!IsAccepted({ "HTTP/1.1 200 OK", "HTTP/1.1 500 Internal Server Error" }));
  BOOST_TEST(!IsAccepted({ "HTTP/1.1 200 OK", "A: b", "HTTP/1.1 500 Error: b" }));
  BOOST_TEST(!IsAccepted({ "HTTP/1.1 100 Continue", "HTTP/1.1 500 Internal Server Error" }));
  BOOST_TEST(!IsAccepted({ "HTTP/1.1 200 OK", "", "HTTP/1.1 500 Internal Server Error" }));
}

// Guards against statuses that no HTTP defines reaching callers as the endpoint's answer.
BOOST_AUTO_TEST_CASE(StatusOutsideTheValidRangeIsRejected)
{
  for (const std::string status : { "000", "001", "020", "099", "600", "999" }) {
    BOOST_TEST(!IsAccepted({ "HTTP/1.1 " + status + " Odd", "" }), status);
  }
  for (const std::string status : { "100", "200", "299", "500", "599" }) {
    BOOST_TEST(IsAccepted({ "HTTP/1.1 " + status + " Fine", "" }), status);
  }
}

// Guards against bodies that end at a place of which sender and receiver think differently: libcurl takes the last or the
// readable part of contradictory lengths, and ignores a transfer coding that it can't read.
BOOST_AUTO_TEST_CASE(ContradictoryFramingIsRejected)
{
  const std::string ok = "HTTP/1.1 200 OK";
  for (const std::string value :
       { "3, 8", "3x", "-3", "+3", "", "3 3", "0x3", "99999999999999999999" }) {
    BOOST_TEST(!IsAccepted({ ok, "Content-Length: " + value }), value);
  }
  BOOST_TEST(!IsAccepted({ ok, "Content-Length: 3", "content-length: 8" }));
  BOOST_TEST(!IsAccepted({ ok, "Content-Length : 3" }));
  BOOST_TEST(!IsAccepted({ ok, "Transfer-Encoding : chunked" }));
  BOOST_TEST(!IsAccepted({ ok, "Transfer-Encoding:", " chunked" }));
  BOOST_TEST(!IsAccepted({ ok, "Content-Length: 3", " 8" }));
  BOOST_TEST(IsAccepted({ ok, "Content-Length:3\t", "Content-Length: 3", "" }));
  BOOST_TEST(IsAccepted({ ok, "Transfer-Encoding: chunked", "Other : a", " b", "" }));
  // Of a head each, and not of trailers
  BOOST_TEST(
    IsAccepted({ "HTTP/1.1 103 Early", "Content-Length: 1", "", ok, "Content-Length: 2", "" }));
  BOOST_TEST(IsAccepted({ ok, "Transfer-Encoding: chunked", "", "Content-Length: x" }));
}

BOOST_AUTO_TEST_CASE(OnlyHeadersOfTheFinalResponseDelimitIt)
{
  BOOST_TEST(!IsDelimited({ "HTTP/1.1 200 OK", "Date: a", "" }));
  BOOST_TEST(IsDelimited({ "HTTP/1.1 200 OK", "content-length: 4", "" }));
  BOOST_TEST(IsDelimited({ "HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "" }));
  BOOST_TEST(IsDelimited({ "HTTP/1.1 200 OK", "Transfer-Encoding: gzip,  Chunked", "" }));
  BOOST_TEST(IsDelimited({ "HTTP/1.1 204 No Content", "" }));
  BOOST_TEST(
    !IsDelimited({ "HTTP/1.1 103 Early Hints", "Content-Length: 4", "", "HTTP/1.1 200 OK", "" }));
}

/// Guards against a part that counts as delimited, and so as whole, for a transfer coding that has no end of its own.
BOOST_AUTO_TEST_CASE(TransferCodingOtherThanChunkedDoesNotDelimitAResponse)
{
  for (const std::string codings : { "identity", "gzip", "chunked, identity", "x-chunked", "" }) {
    const std::string coding = "Transfer-Encoding: " + codings;
    BOOST_TEST(!IsDelimited({ "HTTP/1.1 200 OK", coding, "" }), codings);
    // It overrides a length
    BOOST_TEST(!IsDelimited({ "HTTP/1.1 200 OK", coding, "Content-Length: 4", "" }), codings);
    BOOST_TEST(!IsDelimited({ "HTTP/1.1 200 OK", "Content-Length: 4", coding, "" }), codings);
  }
}

BOOST_AUTO_TEST_CASE(MalformedLinesAreRejected)
{
  using namespace std::string_literals;
  BOOST_TEST(!IsAccepted({ "" }));
  BOOST_TEST(!IsAccepted({ "200 OK" }));
  BOOST_TEST(!IsAccepted({ "HTTP/1.1  200 OK" }));
  BOOST_TEST(!IsAccepted({ "HTTP/1.1 20 OK" }));
  BOOST_TEST(!IsAccepted({ "HTTP/1.1 2000 OK" }));
  BOOST_TEST(!IsAccepted({ "HTTP/1.1 200 OK", "no colon" }));
  BOOST_TEST(!IsAccepted({ "HTTP/1.1 200 OK", ": no name" }));
  BOOST_TEST(!IsAccepted({ "HTTP/1.1 200 OK", "two words: a" }));
  BOOST_TEST(!IsAccepted({ "HTTP/1.1 200 OK", "A: b\0c"s }));
  BOOST_TEST(!IsAccepted({ "HTTP/1.1 100 Continue", "", "A: b" }));
}

/// Guards against a joined head that passes because the status line of its second response is written in an unusual way.
BOOST_AUTO_TEST_CASE(UnusualStartOfAnotherResponseIsRejected)
{
  for (const std::string next :
       { "http/1.1 500 Error", "HTTP/1.1  500 Error", "HTTP/1.1\t500 Error", "HTTP/1.1 500\tError",
         "HTTP/1 500", "HTTP/2 500", "HTTP/ 500" }) {
    BOOST_TEST(!IsAccepted({ "HTTP/1.1 200 La" + next }), next);
    BOOST_TEST(!IsAccepted({ "HTTP/1.1 200 OK", "Date: Sat, 01 J" + next }), next);
  }
  BOOST_TEST(IsAccepted({ "HTTP/1.1 200 OK", "Via: HTTP/1.1 127.0.0.1:80, http/1.0 500.example" }));
}

/// Guards against a failure that is taken for a success: libcurl reads `HTTP/. 500` as status 200.
BOOST_AUTO_TEST_CASE(MalformedVersionIsRejected)
{
  for (const std::string line : { "HTTP/. 500 Error", "HTTP/.1 500 Error", "HTTP/1. 500 Error",
                                  "HTTP/11.1 500 Error", "HTTP/1.1.1 500 Error", "HTTP/ 500" }) {
    BOOST_TEST(!IsAccepted({ line, "" }), line);
  }
  BOOST_TEST(IsAccepted({ "HTTP/2 200", "" }));
}

/// Guards against a due response that is read as the bytes of another protocol, without end.
BOOST_AUTO_TEST_CASE(SwitchToAnotherProtocolIsRejected)
{
  BOOST_TEST(!IsAccepted({ "HTTP/1.1 101 Switching Protocols", "Upgrade: h2c", "" }));
}

BOOST_AUTO_TEST_CASE(NothingIsAcceptedAfterAFault)
{
  ResponseHeadCheck check;
  BOOST_TEST(!check.Accept("HTTP/1.1 200 LaHTTP/1.1 500 Error"));
  BOOST_TEST(!check.Accept("HTTP/1.1 200 OK"));
  BOOST_TEST(check.Fault().find("HTTP/1.1 200 LaHTTP/1.1 500 Error") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
