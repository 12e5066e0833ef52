#include "StandIns/Engine/TokenFunction.h"
#include "StandIns/Http/HttpClient.h"
#include "StandIns/Platform/PlatformStandIn.h"
#include "StandIns/Service/ServiceStandIn.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace lagoonward::standins;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds kTimeout{ 20 };

HttpAnswer
Call(const ListenAddress& aServer, const std::string& aMethod, const std::string& aPath,
     const std::string& aBody = {})
{
  return Fetch(aMethod, "http://" + aServer.ToString() + aPath, aBody, kTimeout);
}

/// A platform that updates its host list and starts hosts without delay.
struct Fixture
{
  explicit Fixture(const PlatformSettings& aSettings = Quick())
    : platform(aSettings, ListenAddress(), this->scheduler,
               { [](CloudHost& aHost) {
                  aHost.port = 1;
                  return true;
                },
                 {},
                 {} })
  {
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;
  ~Fixture()
  {
    this->platform.Stop();
    this->scheduler.Stop();
  }

  static PlatformSettings Quick()
  {
    PlatformSettings settings;
    settings.cloud.hostListLag = settings.cloud.startTime = std::chrono::milliseconds(0);
    return settings;
  }

  [[nodiscard]] HttpAnswer Send(const std::string& aMethod, const std::string& aPath,
                                const std::string& aBody = {}) const
  {
    return Call(this->platform.Address(), aMethod, aPath, aBody);
  }

  [[nodiscard]] json Read(const std::string& aPath) const
  {
    return json::parse(this->Send("GET", aPath).body);
  }

  Scheduler scheduler;
  PlatformStandIn platform;
};

constexpr const char* kStart = R"({"client_token":"t","kind":"engine","machine_class":"c",
  "failure_domain":"fana","reclaimable":true})";

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformStandInTests)

BOOST_AUTO_TEST_CASE(AppendAssignsOffsetAndCompletesLongPoll)
{
  Fixture fixture;
  fixture.scheduler.After(std::chrono::milliseconds(20),
                          [&] { (void)fixture.Send("POST", "/streams/config/m", "one"); });
  const auto page = fixture.Read("/streams/config/m?from=0&wait_ms=20000");
  BOOST_TEST(page.at("records").at(0).at("data") == "one");
  BOOST_TEST(page.at("end") == 1);
  BOOST_TEST(fixture.Send("POST", "/streams/config/m", "\xff").status == 400);
}

BOOST_AUTO_TEST_CASE(LogDropsOldestRecordsBeyondItsLimit)
{
  auto settings = Fixture::Quick();
  settings.log.maxRecords = 2;
  const Fixture fixture(settings);
  for (const auto* text : { "a", "b", "c" }) {
    (void)fixture.Send("POST", "/streams/s", text);
  }
  const auto page = fixture.Read("/streams/s?from=0");
  BOOST_TEST(page.at("start") == 1);
  BOOST_TEST(page.at("records").at(0).at("offset") == 1);
}

BOOST_AUTO_TEST_CASE(LogRefusesAppendsAboveItsRate)
{
  auto settings = Fixture::Quick();
  settings.log.appendsPerSecond = 0.001;
  const Fixture fixture(settings);
  BOOST_TEST(fixture.Send("POST", "/streams/s", "a").status == 200);
  const auto refused = fixture.Send("POST", "/streams/s", "b");
  BOOST_TEST(refused.status == 429);
  BOOST_TEST(refused.retryAfter.count() > 0);
}

BOOST_AUTO_TEST_CASE(RequestWithLostAnswerIsExecuted)
{
  const Fixture fixture;
  (void)fixture.Send("POST", "/faults", R"({"fault":"lost_answer","path":"/streams/"})");
  BOOST_TEST(fixture.Send("POST", "/streams/s", "a").status == 0);
  BOOST_TEST(fixture.Read("/streams/s?from=0").at("records").size() == 1U);
}

BOOST_AUTO_TEST_CASE(OutageAffectsOnlyItsPath)
{
  const Fixture fixture;
  (void)fixture.Send("POST", "/faults", R"({"fault":"outage","ms":60000,"path":"/streams/"})");
  BOOST_TEST(fixture.Send("GET", "/streams/s?from=0").status == 503);
  BOOST_TEST(fixture.Send("GET", "/hosts").status == 200);
  (void)fixture.Send("DELETE", "/faults");
  BOOST_TEST(fixture.Send("GET", "/streams/s?from=0").status == 200);
}

BOOST_AUTO_TEST_CASE(SameTokenStartsOneHost)
{
  const Fixture fixture;
  (void)fixture.Send("POST", "/faults", R"({"fault":"refused_start"})");
  BOOST_TEST(fixture.Send("POST", "/hosts", kStart).status == 503);
  const auto first = fixture.Send("POST", "/hosts", kStart);
  const auto second = fixture.Send("POST", "/hosts", kStart);
  BOOST_TEST(json::parse(first.body).at("id") == json::parse(second.body).at("id"));
  BOOST_TEST(fixture.Read("/stats").at("hosts_started") == 1);
}

BOOST_AUTO_TEST_CASE(ReclaimPublishesNoticeAndMarksHostsLeaving)
{
  Fixture fixture;
  CloudHost host;
  host.id = "engine-1";
  host.kind = "engine";
  host.failureDomain = "fana";
  fixture.platform.Cloud().Register(host);
  BOOST_TEST(fixture.Read("/hosts").at(0).at("state") == "live");
  (void)fixture.Send("POST", "/reclaim", R"({"failure_domain":"fana","grace_ms":600000})");
  const auto page = fixture.Read("/notices?from=0&wait_ms=20000");
  BOOST_TEST(page.at("notices").at(0).at("grace_ms") == 600000);
  BOOST_TEST(page.at("notices").at(0).at("host") == "");
  BOOST_TEST(fixture.Read("/hosts").at(0).at("state") == "leaving");
}

BOOST_AUTO_TEST_CASE(ServiceCountsItsExecutions)
{
  Scheduler scheduler;
  ServiceSettings settings;
  settings.workTime = std::chrono::milliseconds(0);
  ServiceStandIn service(settings, ListenAddress(), scheduler);
  (void)Call(service.Address(), "POST", "/faults", R"({"fault":"lost_answer"})");
  BOOST_TEST(Call(service.Address(), "POST", "/submit", "body").status == 0);
  const auto answer = json::parse(Call(service.Address(), "POST", "/submit", "body").body);
  BOOST_TEST(answer.at("result") == ServiceResult("permits", "/submit", "body"));
  BOOST_TEST(answer.at("execution") == 2);
  BOOST_TEST(service.Executions().at(ExecutionKey("body")) == 2);
  scheduler.Stop();
}

BOOST_AUTO_TEST_SUITE_END()
