#include "Lagoonward/Configuration/ConfigurationPublisher.h"
#include "Lagoonward/Core/SystemClock.h"
#include "UnitTests/Support/FakeLogService.h"
#include "UnitTests/Support/SampleManifest.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;
using Fault = FakeLogService::Fault;
using Verdict = PublishOutcome::Verdict;

namespace {

const std::string kStream = "config/vestland";

Result<PublishOutcome>
PublishAs(FakeLogService& aLog, const std::string& aName, std::optional<Offset> aBase = {},
          Milliseconds aTimeout = Milliseconds(5000))
{
  const SystemClock clock;
  PublisherSettings settings;
  settings.timeout = aTimeout;
  settings.backoff = { Milliseconds(1), Milliseconds(2) };
  ConfigurationPublisher publisher(aLog, clock, settings, aName);
  return publisher.Publish(SampleManifest("vestland"), aBase);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationPublisherTests)

BOOST_AUTO_TEST_CASE(PublishWithOldBaseLosesAndReportsWinner)
{
  FakeLogService log;
  BOOST_TEST((PublishAs(log, "a").value().verdict == Verdict::Accepted));
  BOOST_TEST((PublishAs(log, "b").value().verdict == Verdict::Accepted));
  const auto outdated = PublishAs(log, "c", 0).value();
  BOOST_TEST((outdated.verdict == Verdict::Lost));
  BOOST_TEST(outdated.inForce == 1);
  BOOST_TEST(outdated.winner.incarnation == "b");
  BOOST_TEST(log.End(kStream) == 2);
}

BOOST_AUTO_TEST_CASE(OnlyOneOfConcurrentPublishersIsAccepted)
{
  FakeLogService log;
  std::vector<std::thread> threads;
  std::vector<PublishOutcome> outcomes(8);
  for (std::size_t index = 0; index < outcomes.size(); ++index) {
    threads.emplace_back([&log, &outcomes, index] {
      outcomes[index] = PublishAs(log, "p" + std::to_string(index), kNoOffset).value();
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  int won = 0;
  std::set<Offset> inForce;
  for (const auto& outcome : outcomes) {
    won += outcome.verdict == Verdict::Accepted ? 1 : 0;
    inForce.insert(outcome.inForce);
  }
  BOOST_TEST(won == 1);
  BOOST_TEST(inForce.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LostAppendResponseIsResolvedByReadingTheLog)
{
  // The append took effect: the record is found and not appended again
  FakeLogService log;
  log.FailAppends({ Fault::AnswerLost });
  const auto published = PublishAs(log, "a").value();
  BOOST_TEST((published.verdict == Verdict::Accepted));
  BOOST_TEST(published.offset == 0);
  BOOST_TEST(log.End(kStream) == 1);

  // The append had no effect: the record is appended again
  log.FailAppends({ Fault::Refused, Fault::Refused });
  BOOST_TEST((PublishAs(log, "b").value().verdict == Verdict::Accepted));

  // The append takes effect after the second copy: only the first copy is accepted
  log.FailAppends({ Fault::Late });
  const auto repeated = PublishAs(log, "c").value();
  BOOST_TEST((repeated.verdict == Verdict::Accepted));
  BOOST_TEST(repeated.offset == 2);
  log.StoreLateAppends();
  BOOST_TEST((PublishAs(log, "d", 2).value().verdict == Verdict::Accepted));
}

BOOST_AUTO_TEST_CASE(OutageGivesErrorOrUnknownVerdict)
{
  FakeLogService log;
  log.SetDown(true);
  const auto before = PublishAs(log, "a", {}, Milliseconds(5));
  BOOST_TEST((before.error().kind == ErrorKind::PlatformUnavailable));
  log.SetDown(false);
  log.FailAppends(std::vector<Fault>(10'000, Fault::Late));
  const auto during = PublishAs(log, "a", {}, Milliseconds(20)).value();
  BOOST_TEST((during.verdict == Verdict::Unknown));
}

BOOST_AUTO_TEST_CASE(PublishRequiresBaseIfRecordsHaveExpired)
{
  FakeLogService log;
  BOOST_TEST((PublishAs(log, "a").value().verdict == Verdict::Accepted));
  log.Truncate(kStream, 1);
  BOOST_TEST((PublishAs(log, "b").error().kind == ErrorKind::NoConfiguration));
  BOOST_TEST((PublishAs(log, "b", 0).value().verdict == Verdict::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
