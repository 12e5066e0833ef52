#include "Lagoonward/Configuration/MarketIndex.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lagoonward;

namespace {

/// An in-memory log that can be made unavailable.
class MemoryLog final : public LogService
{
public:
  Result<LogPosition> Append(std::string_view, std::string_view aRecord) override
  {
    if (this->unavailable) {
      return Error(ErrorKind::PlatformUnavailable, "away");
    }
    this->records.emplace_back(aRecord);
    return LogPosition(static_cast<Offset>(this->records.size()) - 1);
  }

  Result<LogPage> Read(std::string_view, Offset aFrom, int, Milliseconds) override
  {
    if (this->unavailable) {
      return Error(ErrorKind::PlatformUnavailable, "away");
    }
    LogPage page;
    page.start = this->start;
    page.end = static_cast<Offset>(this->records.size());
    for (Offset offset = std::max(aFrom, page.start); offset < page.end; ++offset) {
      page.records.push_back({ offset, this->records[static_cast<std::size_t>(offset)] });
    }
    return page;
  }

  void Interrupt() override {}

  std::vector<std::string> records;
  Offset start = 0;
  bool unavailable = false;
};

struct Fixture
{
  VirtualClock clock;
  MemoryLog log;
  std::set<std::string> markets;
  int rank = 0;
  MarketIndexReader reader{ {},
                            { [this](const std::string& aName) { this->markets.insert(aName); },
                              [this](const std::string&) { return this->rank; } },
                            this->log,
                            this->clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MarketIndexTests, Fixture)

BOOST_AUTO_TEST_CASE(ValidNamesAreReadAndInvalidRecordsSkipped)
{
  this->log.records = { "rubbish", WriteMarketIndexRecord("a"), R"({"market":"../b"})",
                        R"({"market":7})", WriteMarketIndexRecord("c-1") };
  BOOST_TEST(this->reader.Step());
  BOOST_TEST(this->markets == (std::set<std::string>{ "a", "c-1" }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(NameIsAppendedAgainByFirstRankWhenDue)
{
  this->log.records = { WriteMarketIndexRecord("a") };
  BOOST_TEST(this->reader.Step());
  this->clock.Advance(MarketIndexSettings{}.refreshAfter);
  this->rank = 1;
  this->reader.Step();
  BOOST_TEST(this->log.records.size() == 1U);
  this->rank = 0;
  this->reader.Step();
  BOOST_TEST(this->log.records.size() == 2U);
  this->reader.Step();
  BOOST_TEST(this->log.records.size() == 2U);
}

BOOST_AUTO_TEST_CASE(StepFailsWithoutMarketsDuringOutage)
{
  this->log.unavailable = true;
  BOOST_TEST(!this->reader.Step());
  BOOST_TEST(this->markets.empty());
}

BOOST_AUTO_TEST_CASE(ExpiredRecordsAreSkipped)
{
  this->log.records = { WriteMarketIndexRecord("a"), WriteMarketIndexRecord("b") };
  this->log.start = 1;
  BOOST_TEST(this->reader.Step());
  BOOST_TEST(this->markets == (std::set<std::string>{ "b" }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
