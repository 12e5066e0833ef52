#include "Lagoonward/Claims/ClaimService.h"
#include "Lagoonward/Core/SystemClock.h"
#include "UnitTests/Support/FakeLogService.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <map>
#include <set>

using namespace lagoonward;
using namespace lagoonward::testing;
using Verdict = ClaimAnswer::Verdict;

namespace {

/// Daemons of one region that forward claims to each other by direct calls.
class Region final : public ClaimForwarder
{
public:
  explicit Region(std::size_t aDaemons)
  {
    for (std::size_t index = 0; index < aDaemons; ++index) {
      this->ids.push_back("d-" + std::to_string(index));
    }
    for (const std::string& id : this->ids) {
      ClaimServiceHooks hooks;
      hooks.region = "vestland";
      hooks.daemonId = id;
      hooks.incarnation = id + "#1";
      hooks.liveDaemons = [this] { return this->ids; };
      hooks.forwarder = this;
      ClaimSettings settings;
      settings.claimTimeout = Seconds(30);
      settings.dispatchWindow = Seconds(60);
      settings.flushInterval = Milliseconds(5);
      this->services[id] = std::make_unique<ClaimService>(settings, hooks, this->log, this->clock);
      BOOST_TEST(this->services[id]->Start().has_value());
    }
  }

  void ForwardClaim(const std::string& aDaemon, const Claim& aClaim, Milliseconds aBudget,
                    ClaimCallback aCallback) override
  {
    if (this->unreachable.contains(aDaemon)) {
      ClaimAnswer answer;
      answer.verdict = Verdict::Unreachable;
      aCallback(answer);
      return;
    }
    this->services.at(aDaemon)->Receive(aClaim, aBudget, std::move(aCallback));
  }

  [[nodiscard]] bool ForwardOutcome(const std::string& aDaemon,
                                    const ClaimOutcome& aOutcome) override
  {
    if (this->unreachable.contains(aDaemon)) {
      return false;
    }
    this->services.at(aDaemon)->ReceiveOutcome(aOutcome);
    return true;
  }

  /// Claims a key at a daemon and waits for the verdict.
  std::pair<ClaimTicketPtr, ClaimAnswer> ClaimAt(const std::string& aDaemon, int aKey)
  {
    std::promise<ClaimAnswer> answer;
    auto ticket = this->services.at(aDaemon)->Claim(
      MakeClaimKey("vestland", "county", std::to_string(aKey)), 1,
      [&answer](const ClaimAnswer& aAnswer) { answer.set_value(aAnswer); });
    return { ticket, answer.get_future().get() };
  }

  FakeLogService log;
  SystemClock clock;
  std::vector<std::string> ids;
  std::set<std::string> unreachable;
  std::map<std::string, std::unique_ptr<ClaimService>> services;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimServiceTests)

BOOST_AUTO_TEST_CASE(ExactlyOneDaemonDispatchesAKey)
{
  Region region(5);
  for (int key = 0; key < 12; ++key) {
    int dispatched = 0;
    for (const std::string& id : region.ids) {
      const auto [ticket, answer] = region.ClaimAt(id, key);
      dispatched += region.services.at(id)->BeginDispatch(ticket) ? 1 : 0;
      BOOST_TEST(region.services.at(id)->Withdraw(ticket) == (answer.verdict != Verdict::Won));
    }
    BOOST_TEST(dispatched == 1);
  }
}

BOOST_AUTO_TEST_CASE(SecondBatcherDaemonIsUsedWhenTheFirstIsUnreachable)
{
  Region region(5);
  region.unreachable = { "d-0", "d-1" };
  int settled = 0;
  for (int key = 0; key < 24; ++key) {
    settled += region.ClaimAt("d-4", key).second.verdict == Verdict::Won ? 1 : 0;
  }

  // Only claims of shards whose two batcher daemons are both unreachable are refused
  BOOST_TEST(settled > 12);
}

BOOST_AUTO_TEST_CASE(WithdrawnClaimIsNeverDispatchedAndItsKeyIsFree)
{
  Region region(2);
  const auto [ticket, answer] = region.ClaimAt("d-0", 1);
  BOOST_TEST((answer.verdict == Verdict::Won));
  BOOST_TEST(region.services.at("d-0")->Withdraw(ticket));
  BOOST_TEST(!region.services.at("d-0")->BeginDispatch(ticket));

  // The withdrawal is written with the next append; until then callers retry
  Verdict retried = Verdict::Lost;
  for (int attempt = 0; attempt < 1000 && retried != Verdict::Won; ++attempt) {
    retried = region.ClaimAt("d-1", 1).second.verdict;
  }
  BOOST_TEST((retried == Verdict::Won));
}

BOOST_AUTO_TEST_CASE(ReportedOutcomeIsReturnedToLaterCallers)
{
  Region region(2);
  const auto [ticket, answer] = region.ClaimAt("d-0", 1);
  BOOST_TEST(region.services.at("d-0")->BeginDispatch(ticket));
  region.services.at("d-0")->ReportOutcome(ticket, Ran::Yes);
  ErrorKind kind = ErrorKind::OutcomeUnknown;
  for (int attempt = 0; attempt < 1000 && kind != ErrorKind::AlreadyRan; ++attempt) {
    kind = ToError(region.ClaimAt("d-1", 1).second, 1).kind;
  }
  BOOST_TEST((kind == ErrorKind::AlreadyRan));
}

BOOST_AUTO_TEST_CASE(ExpiredKeyIsRefusedWithUnknownOutcome)
{
  Region region(1);
  std::optional<ClaimAnswer> answer;
  const auto ticket = region.services.at("d-0")->Claim(
    MakeClaimKey("vestland", "county", "old"), 1,
    [&answer](const ClaimAnswer& aAnswer) { answer = aAnswer; },
    region.clock.WallNow() - ClaimSettings().keyLifetime);
  BOOST_TEST_REQUIRE(answer.has_value());
  BOOST_TEST((ToError(*answer, 1).ran == Ran::Unknown));
  BOOST_TEST(!region.services.at("d-0")->BeginDispatch(ticket));
}

BOOST_AUTO_TEST_SUITE_END()
