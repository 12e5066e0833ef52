#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Metering/UsageAccumulator.h"
#include "Lagoonward/Metering/UsageRecord.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

/// A clock whose wall time can jump, as when the host's time is set.
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

BOOST_AUTO_TEST_CASE(WallClockJumpsDoNotChangeTheCurrentWindow)
{
  JumpingClock clock;
  UsageCounter counter(Seconds(5), clock);
  const std::int64_t first = counter.CurrentWindow();
  counter.OnStarted("a");
  clock.jump = Milliseconds(7000);
  counter.OnStarted("a");
  BOOST_TEST(counter.CurrentWindow() == first);
  BOOST_TEST(counter.Read().at(first).at("a") == 2);
  clock.steady.Suspend(Seconds(5));
  BOOST_TEST(counter.CurrentWindow() == first + 1);
}

BOOST_AUTO_TEST_CASE(OldWindowsAreEvicted)
{
  VirtualClock clock;
  UsageCounter counter(Seconds(5), clock);
  const std::int64_t first = counter.CurrentWindow();
  counter.OnStarted("a");
  clock.Advance(Seconds(60));
  counter.OnStarted("a");
  BOOST_TEST(!counter.Read().contains(first));
}

BOOST_AUTO_TEST_CASE(SumsRunsAndIgnoresRepeatedAndLateMessages)
{
  VirtualClock clock;
  UsageAccumulator accumulator({}, clock);
  accumulator.OnCounts(1, { { 7, { { "a", 3 } } } });
  accumulator.OnCounts(1, { { 7, { { "a", 5 } } } });
  // An older message that arrives late does not reduce the count
  accumulator.OnCounts(1, { { 7, { { "a", 4 } } } });
  accumulator.OnCounts(2, { { 7, { { "a", 1 }, { "b", 2 } } } });
  const UsageCounts total = accumulator.TotalOf(7);
  BOOST_TEST(total.at("a") == 6);
  BOOST_TEST(total.at("b") == 2);
  BOOST_TEST(accumulator.TotalOf(8).empty());
}

BOOST_AUTO_TEST_CASE(WindowIsDueOnceAllLiveDaemonsHaveReported)
{
  VirtualClock clock;
  UsageAccumulator accumulator({}, clock);
  accumulator.OnCounts(1, {});
  accumulator.OnCounts(2, {});
  clock.Advance(Milliseconds(2000));
  accumulator.OnCounts(1, {});
  // The window ended 1.5 s ago; the second daemon has sent nothing since
  BOOST_TEST(!accumulator.IsDue(Milliseconds(1500)));
  accumulator.OnCounts(2, {});
  BOOST_TEST(accumulator.IsDue(Milliseconds(1500)));
  BOOST_TEST(!accumulator.IsDue(Milliseconds(500)));
  // A terminated daemon delays the report only up to the silence timeout
  clock.Advance(Milliseconds(4000));
  accumulator.OnCounts(1, {});
  BOOST_TEST(accumulator.IsDue(Milliseconds(1500)));
  BOOST_TEST(!accumulator.IsDue(Seconds(60)));
}

BOOST_AUTO_TEST_CASE(OnlyTheFirstRecordOfAWindowIsValid)
{
  UsageLedger ledger;
  ledger.Apply(0, WriteUsageRecord({ 7, { { "a", 3 } } }));
  ledger.Apply(1, "nonsense");
  ledger.Apply(2, WriteUsageRecord({ 7, { { "a", 9 } } }));
  BOOST_TEST(ledger.Find(7)->counts.at("a") == 3);
  BOOST_TEST(ledger.NextOffset() == 3);
  // A record that is read again, as after a lost reply, is ignored
  ledger.Apply(0, WriteUsageRecord({ 8, { { "a", 1 } } }));
  BOOST_TEST(ledger.Find(8) == nullptr);
  ledger.EvictBefore(8);
  BOOST_TEST(ledger.Find(7) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
