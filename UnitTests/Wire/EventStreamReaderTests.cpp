#include "Lagoonward/Wire/EventStreamReader.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace lagoonward;

namespace {

/// Returns all events of a text that is consumed in chunks of the given size.
std::vector<std::string>
ReadInChunks(std::string_view aText, std::size_t aChunkSize)
{
  EventStreamReader reader(1024);
  std::vector<std::string> events;
  for (std::size_t position = 0; position < aText.size(); position += aChunkSize) {
    reader.Consume(aText.substr(position, aChunkSize), [&](const StreamEvent& aEvent) {
      events.push_back(std::string(aEvent.type) + "|" + std::string(aEvent.data));
    });
  }
  return events;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventStreamReaderTests)

BOOST_AUTO_TEST_CASE(ChunkSizeDoesNotAffectTheEvents)
{
  const std::string text = ": comment\r\n\r\ndata: {\"index\":0}\r\n\r\nevent: error\ndata:a\n"
                           "data: b\nid: 7\n\nevent: nothing\n\ndata: [DONE]\n\n";
  const std::vector<std::string> expected{ "|{\"index\":0}", "error|a\nb", "|[DONE]" };
  for (std::size_t chunkSize = 1; chunkSize <= text.size(); ++chunkSize) {
    BOOST_TEST(ReadInChunks(text, chunkSize) == expected, boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_CASE(UnfinishedEventIsNotReported)
{
  BOOST_TEST(ReadInChunks("data: cut", 4).empty());
}

BOOST_AUTO_TEST_CASE(OversizedLineFailsPermanently)
{
  EventStreamReader reader(8);
  int events = 0;
  const auto count = [&](const StreamEvent&) { ++events; };
  BOOST_TEST(!reader.Consume("data: far too long", count));
  BOOST_TEST(!reader.Consume("\n\ndata: a\n\n", count));
  BOOST_TEST(events == 0);
}

BOOST_AUTO_TEST_CASE(OversizedEventOfManyLinesFails)
{
  EventStreamReader reader(16);
  int events = 0;
  const auto count = [&](const StreamEvent&) { ++events; };
  BOOST_TEST(!reader.Consume("data: 12345678\ndata: 12345678\ndata: 1\n\n", count));
  BOOST_TEST(events == 0);
}

BOOST_AUTO_TEST_SUITE_END()
