#include "Lagoonward/Configuration/ConfigurationFollower.h"
#include "Lagoonward/Configuration/ConfigurationOffer.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "UnitTests/Support/FakeLogService.h"
#include "UnitTests/Support/SampleManifest.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

const std::string kMarket = "vestland";
const std::string kStream = "config/vestland";

std::string
ManifestRecord(Offset aBase)
{
  ConfigurationRecord record;
  record.base = aBase;
  record.manifest = SampleManifest(kMarket);
  record.publisher = { "p", 1 };
  return WriteConfigurationRecord(record);
}

/// A follower and its dependencies.
struct Fixture
{
  explicit Fixture(FakeLogService& aLog, const std::string& aId = "d-1")
  {
    this->hooks.daemonId = aId;
    this->hooks.incarnation = aId + "#1";
    this->hooks.liveDaemons = [] { return std::vector<std::string>{ "d-1", "d-2", "d-3" }; };
    this->hooks.queryPeers = [this](const std::string&) { return this->offers; };
    this->hooks.onChange = [this](const ConfigurationPtr& aConfiguration) {
      this->changes.push_back(aConfiguration->offset);
    };
    this->follower =
      std::make_unique<MarketFollower>(kMarket, this->settings, this->hooks, aLog, this->clock);
  }

  /// Calls Step() once.
  /// @return whether the read of the log succeeded
  [[nodiscard]] bool ReadsLog() const
  {
    const auto pause = this->follower->Step();
    return this->follower->Status().logReachable && pause <= this->settings.idlePause;
  }

  ConfigurationFollowerSettings settings;
  ConfigurationFollowerHooks hooks;
  VirtualClock clock;
  std::vector<ConfigurationOffer> offers;
  std::vector<Offset> changes;
  std::unique_ptr<MarketFollower> follower;
};

} // namespace

BOOST_AUTO_TEST_SUITE(MarketFollowerTests)

BOOST_AUTO_TEST_CASE(LastConfigurationStaysAndReadsBackOffDuringOutage)
{
  FakeLogService log;
  BOOST_TEST(log.Append(kStream, ManifestRecord(kNoOffset)).has_value());
  Fixture daemon(log);
  BOOST_TEST(daemon.ReadsLog());
  log.SetDown(true);
  const auto first = daemon.follower->Step();
  Milliseconds last{ 0 };
  for (int attempt = 0; attempt < 10; ++attempt) {
    last = daemon.follower->Step();
  }
  BOOST_TEST(first.count() >= 50);
  BOOST_TEST(last.count() >= daemon.settings.backoff.maximumDelay.count() / 2);
  BOOST_TEST(daemon.follower->Current()->offset == 0);
  BOOST_TEST(!daemon.follower->Status().logReachable);
  log.SetDown(false);
  BOOST_TEST(log.Append(kStream, ManifestRecord(0)).has_value());
  BOOST_TEST(daemon.ReadsLog());
  BOOST_TEST(daemon.changes == (std::vector<Offset>{ 0, 1 }));
}

BOOST_AUTO_TEST_CASE(NewDaemonAdoptsPeerConfigurationDuringOutage)
{
  FakeLogService log;
  BOOST_TEST(log.Append(kStream, ManifestRecord(kNoOffset)).has_value());
  BOOST_TEST(log.Append(kStream, ManifestRecord(0)).has_value());
  Fixture old(log);
  BOOST_TEST(old.ReadsLog());
  log.SetDown(true);
  Fixture cold(log, "d-2");
  const auto offer = ReadOffer(WriteOffer(old.follower->Offer(), "d-1#1"), kMarket);
  BOOST_TEST_REQUIRE(offer.has_value());
  cold.offers = { ConfigurationOffer{}, *offer };
  BOOST_TEST(cold.follower->Step().count() > 0);
  BOOST_TEST(cold.follower->Current()->offset == 1);

  // With the log available again, it continues from the peer's offset
  log.SetDown(false);
  BOOST_TEST(log.Append(kStream, ManifestRecord(1)).has_value());
  BOOST_TEST(cold.ReadsLog());
  BOOST_TEST(cold.changes == (std::vector<Offset>{ 1, 2 }));
}

BOOST_AUTO_TEST_CASE(OneDaemonWritesTheCheckpointPerInterval)
{
  FakeLogService log;
  BOOST_TEST(log.Append(kStream, ManifestRecord(kNoOffset)).has_value());
  std::vector<std::unique_ptr<Fixture>> daemons;
  for (const char* id : { "d-1", "d-2", "d-3" }) {
    daemons.push_back(std::make_unique<Fixture>(log, id));
  }

  // Two intervals with all daemons give one checkpoint each. The first daemon is stopped for the last interval
  const auto run = [&](Milliseconds aSpan, std::size_t aFirst) {
    for (Milliseconds passed{ 0 }; passed < aSpan; passed += Seconds(1)) {
      for (std::size_t index = aFirst; index < daemons.size(); ++index) {
        daemons[index]->clock.Advance(Seconds(1));
        BOOST_TEST(daemons[index]->ReadsLog());
      }
    }
  };
  run(Seconds(2 * 300 + 60), 0);
  BOOST_TEST(log.End(kStream) == 3);
  run(Seconds(300 + 60), 1);
  BOOST_TEST(log.End(kStream) == 4);

  // For a new daemon only the newest checkpoint is retained
  log.Truncate(kStream, 3);
  Fixture cold(log, "d-4");
  BOOST_TEST(cold.ReadsLog());
  BOOST_TEST(cold.follower->Current()->offset == 0);
  BOOST_TEST(cold.follower->Status().certain);
}

BOOST_AUTO_TEST_CASE(PausedDaemonAdoptsPeerConfigurationAfterAGap)
{
  FakeLogService log;
  BOOST_TEST(log.Append(kStream, ManifestRecord(kNoOffset)).has_value());
  Fixture paused(log);
  BOOST_TEST(paused.ReadsLog());
  BOOST_TEST(log.Append(kStream, ManifestRecord(0)).has_value());
  BOOST_TEST(log.Append(kStream, ManifestRecord(1)).has_value());
  Fixture running(log, "d-2");
  BOOST_TEST(running.ReadsLog());
  log.Truncate(kStream, 3);
  BOOST_TEST(paused.ReadsLog());
  BOOST_TEST(!paused.follower->Status().certain);
  BOOST_TEST(paused.follower->Current()->offset == 0);
  paused.offers = { running.follower->Offer() };
  paused.clock.Advance(Seconds(2));
  BOOST_TEST(paused.ReadsLog());
  BOOST_TEST(paused.follower->Status().certain);
  BOOST_TEST(paused.follower->Current()->offset == 2);
}

BOOST_AUTO_TEST_CASE(ServiceFollowsMarketsOnItsThreads)
{
  FakeLogService log;
  VirtualClock clock;
  BOOST_TEST(log.Append(kStream, ManifestRecord(kNoOffset)).has_value());
  std::promise<Offset> accepted;
  ConfigurationFollowerHooks hooks;
  hooks.incarnation = "d#1";
  hooks.onChange = [&](const ConfigurationPtr& aNew) { accepted.set_value(aNew->offset); };
  ConfigurationFollowerSettings settings;
  settings.maxMarkets = 1;
  ConfigurationFollower service(settings, hooks, {}, log, clock);
  BOOST_TEST(service.Start().has_value());
  BOOST_TEST(service.Follow(kMarket).has_value());
  BOOST_TEST((service.Follow("norte").error().kind == ErrorKind::Overloaded));
  BOOST_TEST(accepted.get_future().get() == 0);
  BOOST_TEST(service.Current(kMarket)->offset == 0);
  BOOST_TEST((service.Current("norte") == nullptr));
  service.Stop();
}

BOOST_AUTO_TEST_SUITE_END()
