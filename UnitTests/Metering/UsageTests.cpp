#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Metering/UsageBook.h"
#include "Lagoonward/Metering/UsageRecord.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

/// A clock whose calendar jumps, as when somebody sets the host's time.
class JumpingClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const override { return this->steady.Now(); }
  [[nodiscard]] WallTime WallNow() const override { return this->steady.WallNow() + this->jump; }
  [[nodiscard]] TimePoint BootNow() const override { return this->steady.BootNow(); }

  VirtualClock steady;
  Milliseconds jump{ 0 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(UsageTests)

BOOST_AUTO_TEST_CASE(CountsInTheWindowThatRunsAlsoWhenTheCalendarJumps)
{
  JumpingClock clock;
  UsageCounter counter(Seconds(5), clock);
  const std::int64_t first = counter.CurrentWindow();
  counter.OnBegan("a");
  clock.jump = Milliseconds(7000);
  counter.OnBegan("a");
  BOOST_TEST(counter.CurrentWindow() == first);
  BOOST_TEST(counter.Read().at(first).at("a") == 2);
  clock.steady.Suspend(Seconds(5));
  BOOST_TEST(counter.CurrentWindow() == first + 1);
}

BOOST_AUTO_TEST_CASE(ForgetsOldWindows)
{
  VirtualClock clock;
  UsageCounter counter(Seconds(5), clock);
  const std::int64_t first = counter.CurrentWindow();
  counter.OnBegan("a");
  clock.Advance(Seconds(60));
  counter.OnBegan("a");
  BOOST_TEST(!counter.Read().contains(first));
}

BOOST_AUTO_TEST_CASE(SumsRunsAndTakesRepeatedMessagesOnce)
{
  VirtualClock clock;
  UsageBook book({}, clock);
  book.OnCounts(1, { { 7, { { "a", 3 } } } });
  book.OnCounts(1, { { 7, { { "a", 5 } } } });
  // An older message that arrives late takes nothing back
  book.OnCounts(1, { { 7, { { "a", 4 } } } });
  book.OnCounts(2, { { 7, { { "a", 1 }, { "b", 2 } } } });
  const UsageCounts total = book.TotalOf(7);
  BOOST_TEST(total.at("a") == 6);
  BOOST_TEST(total.at("b") == 2);
  BOOST_TEST(book.TotalOf(8).empty());
}

BOOST_AUTO_TEST_CASE(WaitsForAllThatLive)
{
  VirtualClock clock;
  UsageBook book({}, clock);
  book.OnCounts(1, {});
  book.OnCounts(2, {});
  clock.Advance(Milliseconds(2000));
  book.OnCounts(1, {});
  // The window ended 1.5 s ago; the second daemon has not spoken since
  BOOST_TEST(!book.IsDue(Milliseconds(1500)));
  book.OnCounts(2, {});
  BOOST_TEST(book.IsDue(Milliseconds(1500)));
  BOOST_TEST(!book.IsDue(Milliseconds(500)));
  // One that has died holds nobody up for long
  clock.Advance(Milliseconds(4000));
  book.OnCounts(1, {});
  BOOST_TEST(book.IsDue(Milliseconds(1500)));
  BOOST_TEST(!book.IsDue(Seconds(60)));
}

BOOST_AUTO_TEST_CASE(OnlyTheFirstRecordOfAWindowCounts)
{
  UsageLedger ledger;
  ledger.Apply(0, WriteUsageRecord({ 7, { { "a", 3 } } }));
  ledger.Apply(1, "nonsense");
  ledger.Apply(2, WriteUsageRecord({ 7, { { "a", 9 } } }));
  BOOST_TEST(ledger.Find(7)->counts.at("a") == 3);
  BOOST_TEST(ledger.NextOffset() == 3);
  // Read again, as after a lost answer
  ledger.Apply(0, WriteUsageRecord({ 8, { { "a", 1 } } }));
  BOOST_TEST(ledger.Find(8) == nullptr);
  ledger.Forget(8);
  BOOST_TEST(ledger.Find(7) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
