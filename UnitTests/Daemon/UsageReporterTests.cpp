#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Daemon/UsageReporter.h"
#include "Lagoonward/Metering/UsageAccumulator.h"
#include "UnitTests/Support/FakeLogService.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::string_view kStream = "usage/r";

/// A single daemon that counts its own usage and may be the leader.
struct Fixture
{
  UsageReporterPorts Ports()
  {
    UsageReporterPorts ports;
    ports.log = &this->log;
    ports.stream = kStream;
    ports.page = 10;
    ports.report = [this](const UsageRecord& aRecord, Offset) -> Result<void> {
      this->reports.push_back(aRecord);
      return boost::outcome_v2::success();
    };
    ports.fencingIfLeader = [this] {
      return this->leads ? std::optional<Offset>(1) : std::nullopt;
    };
    ports.onRefused = [](Offset) {};
    ports.countsOf = [this](std::int64_t aWindow) { return this->accumulator.TotalOf(aWindow); };
    ports.logEpoch = [this] { return this->epoch; };
    ports.isDue = [this](Milliseconds aSince) { return this->accumulator.IsDue(aSince); };
    ports.expireBefore = [this](std::int64_t aBefore) { this->accumulator.EvictBefore(aBefore); };
    return ports;
  }

  /// Advances the clock and does the daemon's periodic step four times a second.
  void Run(Milliseconds aSpan)
  {
    constexpr Milliseconds kInterval{ 250 };
    for (Milliseconds passed{ 0 }; passed < aSpan; passed += kInterval) {
      this->clock.Advance(kInterval);
      this->accumulator.OnCounts(1, this->counter.Read());
      this->reporter.Step();
    }
  }

  /// Number of requests of an account in all reports.
  [[nodiscard]] std::int64_t Reported(const std::string& aAccount) const
  {
    std::int64_t sum = 0;
    for (const UsageRecord& record : this->reports) {
      sum += record.counts.contains(aAccount) ? record.counts.at(aAccount) : 0;
    }
    return sum;
  }

  VirtualClock clock;
  FakeLogService log;
  UsageCounter counter{ Seconds(1), clock };
  UsageAccumulator accumulator{ {}, clock };
  bool leads = true;
  std::int64_t epoch = 0; ///< Of the log, as this daemon knows it.
  std::vector<UsageRecord> reports;
  UsageReporter reporter{ Ports(), counter };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UsageReporterTests, Fixture)

BOOST_AUTO_TEST_CASE(EachWindowIsReportedOnce)
{
  this->counter.OnStarted("a");
  this->Run(Seconds(30));
  BOOST_TEST(this->Reported("a") == 1);
  std::set<std::int64_t> windows;
  for (const UsageRecord& record : this->reports) {
    BOOST_TEST(windows.insert(record.window).second);
  }
}

/// Guards against lost counts of a daemon that was suspended for some seconds, as a host can be. The reporter examined
/// only the last six windows and kept the counts of five: half a minute for windows of 5 s, but too short for windows
/// of 1 s. Seen in 33 of 60 runs of a daemon whose process was stopped for 0.6 to 6.5 s once or twice.
BOOST_AUTO_TEST_CASE(ASuspendedDaemonReportsItsCountsAfterwards)
{
  this->Run(Milliseconds(500));
  this->counter.OnStarted("a");
  this->clock.Advance(Milliseconds(6500));
  this->counter.OnStarted("b");
  this->Run(Milliseconds(500));
  this->clock.Advance(Milliseconds(6500));
  this->Run(Seconds(5));
  BOOST_TEST(this->Reported("a") == 1);
  BOOST_TEST(this->Reported("b") == 1);
}

BOOST_AUTO_TEST_CASE(UsageWithoutALeaderIsReportedByTheNextLeader)
{
  this->counter.OnStarted("a");
  this->leads = false;
  this->Run(Seconds(15));
  BOOST_TEST(this->Reported("a") == 0);
  this->leads = true;
  this->Run(Seconds(1));
  BOOST_TEST(this->Reported("a") == 1);
}

/// The log drops old records. A window whose record may have been dropped must not be reported again with other counts.
BOOST_AUTO_TEST_CASE(AWindowWhoseLogRecordMayHaveExpiredIsNotReported)
{
  this->counter.OnStarted("a");
  this->leads = false;
  this->Run(Seconds(25));
  this->leads = true;
  this->Run(Seconds(5));
  BOOST_TEST(this->Reported("a") == 0);
}

BOOST_AUTO_TEST_CASE(TheFirstLogRecordOfAWindowIsReported)
{
  const std::int64_t window = this->counter.CurrentWindow();
  static_cast<void>(this->log.Append(kStream, WriteUsageRecord({ window, { { "a", 7 } } })));
  this->counter.OnStarted("a");
  this->Run(Seconds(5));
  BOOST_TEST(this->Reported("a") == 7);
}

// Guards against two reports of a window with different counts: a restore of the store loses the record that another daemon
// would have to report again.
BOOST_AUTO_TEST_CASE(RecordsThatARestoreLostAreAppendedAgain)
{
  this->log.Copy();
  this->counter.OnStarted("a");
  this->Run(Seconds(5));
  BOOST_REQUIRE_EQUAL(this->Reported("a"), 1);
  const std::size_t reportsBefore = this->reports.size();
  this->log.Restore();
  BOOST_TEST(this->log.End(kStream) == 0);
  this->leads = false;
  this->epoch = 1;
  this->Run(Milliseconds(500));
  UsageReporterPorts ports = this->Ports();
  ports.countsOf = [](std::int64_t) { return UsageCounts(); };
  UsageReporter other(ports, this->counter);
  this->leads = true;
  other.Step();
  // A leader that has counted nothing itself reports what was reported before
  BOOST_TEST(this->Reported("a") == 2);
  BOOST_TEST(this->reports.size() > reportsBefore);
  std::map<std::int64_t, UsageCounts> counts;
  for (const UsageRecord& record : this->reports) {
    BOOST_TEST((counts.try_emplace(record.window, record.counts).first->second == record.counts));
  }
}

/// Guards against two reports of a window with different counts: a restore of the store loses its record, and the only
/// daemon that had read it has died.
BOOST_AUTO_TEST_CASE(WindowsOfBeforeARestoreAreNotReportedWithoutTheirRecord)
{
  this->log.Copy();
  UsageReporterPorts ports = this->Ports();
  bool otherLeads = false;
  ports.fencingIfLeader = [&] { return otherLeads ? std::optional<Offset>(2) : std::nullopt; };
  ports.countsOf = [](std::int64_t) { return UsageCounts{ { "a", 7 } }; };
  UsageReporter other(ports, this->counter);
  this->counter.OnStarted("a");
  for (int step = 0; step < 20; ++step) {
    this->Run(Milliseconds(250));
    other.Step();
  }
  std::map<std::int64_t, UsageCounts> counts;
  for (const UsageRecord& record : this->reports) {
    counts[record.window] = record.counts;
  }
  BOOST_REQUIRE(!counts.empty());
  this->log.Restore();
  this->epoch = 1;
  this->leads = false;
  otherLeads = true;
  const std::int64_t restoredIn = this->counter.CurrentWindow();
  const std::size_t reportsBefore = this->reports.size();
  for (int step = 0; step < 40; ++step) {
    this->clock.Advance(Milliseconds(250));
    this->accumulator.OnCounts(1, this->counter.Read());
    other.Step();
  }
  BOOST_TEST(this->reports.size() > reportsBefore);
  for (const UsageRecord& record : this->reports) {
    const bool isSame = !counts.contains(record.window) || counts[record.window] == record.counts;
    BOOST_TEST(isSame);
  }
  // Windows that ended after the restore are reported
  BOOST_TEST(this->reports.back().window >= restoredIn);
}

/// The same for a daemon that has started since.
BOOST_AUTO_TEST_CASE(DaemonThatStartsAfterARestoreReportsNoEarlierWindow)
{
  this->epoch = 1;
  this->leads = false;
  this->counter.OnStarted("a");
  this->clock.Advance(Seconds(5));
  this->accumulator.OnCounts(1, this->counter.Read());
  UsageReporter other(this->Ports(), this->counter);
  this->leads = true;
  other.Step();
  BOOST_TEST(this->reports.empty());
}

BOOST_AUTO_TEST_SUITE_END()
