#include "Lagoonward/Relay/EventSplitter.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace lagoonward;

namespace {

using Events = std::vector<std::pair<std::string, std::string>>;

/// Consumes a text in pieces of the given size and collects the events and their ids.
Events
Split(EventSplitter& aSplitter, std::string_view aText, std::size_t aPiece)
{
  Events events;
  while (!aText.empty()) {
    const std::string_view piece = aText.substr(0, aPiece);
    BOOST_TEST(aSplitter.Consume(piece, [&](std::string_view aBytes, std::string_view aId) {
      events.emplace_back(aBytes, aId);
    }));
    aText.remove_prefix(piece.size());
  }
  return events;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventSplitterTests)

BOOST_AUTO_TEST_CASE(EventsDoNotDependOnPieceSizesAndKeepAllBytes)
{
  const std::string text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\n";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    EventSplitter splitter(1000);
    const Events events = Split(splitter, text, piece);
    BOOST_REQUIRE_EQUAL(events.size(), 3U);
    BOOST_TEST(events[0].first + events[1].first + events[2].first == text);
    BOOST_TEST(events[0].second == "1");
    BOOST_TEST(events[1].second == "2");
    BOOST_TEST(events[2].second.empty());
    BOOST_TEST(!splitter.HasPartialEvent());
  }
}

BOOST_AUTO_TEST_CASE(TruncatedEventIsReportedAsPartial)
{
  EventSplitter splitter(1000);
  BOOST_TEST(Split(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n", 7).size() == 1U);
  BOOST_TEST(splitter.HasPartialEvent());
}

BOOST_AUTO_TEST_CASE(FailsOnAnUnfinishedEventAboveTheSizeLimit)
{
  EventSplitter splitter(16);
  BOOST_TEST(!splitter.Consume(std::string(17, 'x'), [](std::string_view, std::string_view) {}));
}

/// Guards against bytes without end that are kept although the event is too large already.
BOOST_AUTO_TEST_CASE(IgnoresAllBytesAfterAnEventAboveTheSizeLimit)
{
  EventSplitter splitter(16);
  const auto fail = [](std::string_view, std::string_view) { BOOST_ERROR("no event is complete"); };
  BOOST_TEST(!splitter.Consume(std::string(17, 'x'), fail));
  BOOST_TEST(!splitter.Consume("\n\nid: 1\ndata: a\n\n", fail));
  BOOST_TEST(splitter.HasPartialEvent());
}

/// Guards against blank lines without end that each cost as much as an event.
BOOST_AUTO_TEST_CASE(PassesBlankLinesOnAtOnce)
{
  EventSplitter splitter(1000);
  const Events events = Split(splitter, "data: a\n\n\n\n\n" + std::string(200, '\n'), 100);
  BOOST_TEST(events.size() <= 4U);
  std::string all;
  for (const auto& [bytes, id] : events) {
    all += bytes;
  }
  BOOST_TEST(all == "data: a\n\n\n\n\n" + std::string(200, '\n'));
  BOOST_TEST(!splitter.HasPartialEvent());
}

/// Guards against comments and blank lines without end, which complete events but hold none.
BOOST_AUTO_TEST_CASE(CommentsAndBlankLinesCountTowardsTheNextEvent)
{
  const auto ignore = [](std::string_view, std::string_view) {};
  for (const char* piece : { ": ping\n\n", "\n", "\r\n" }) {
    EventSplitter splitter(100);
    std::size_t bytes = 0;
    while (bytes < 1000 && splitter.Consume(piece, ignore)) {
      bytes += std::string_view(piece).size();
    }
    BOOST_TEST(bytes <= 100U);
  }
  // Between events there is no limit on their sum
  EventSplitter splitter(100);
  for (int number = 0; number < 1000; ++number) {
    BOOST_REQUIRE(splitter.Consume(": ping\n\ndata: a\n\n", ignore));
  }
}

BOOST_AUTO_TEST_CASE(ParsesOnlyDecimalEventIds)
{
  BOOST_TEST(*ParseEventNumber("12") == 12);
  BOOST_TEST(!ParseEventNumber("12a").has_value());
  BOOST_TEST(!ParseEventNumber("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
