#include "Lagoonward/Admission/Admission.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>

using namespace lagoonward;

namespace {

Manifest
MakeManifest(double aTokensPerSecond, int aConcurrent)
{
  Manifest manifest;
  ManifestClient large;
  large.name = "large";
  large.weight = 3;
  large.tokensPerSecond = aTokensPerSecond;
  large.concurrent = aConcurrent;
  ManifestClient small;
  small.name = "small";
  manifest.clients = { large, small };
  return manifest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionTests)

BOOST_AUTO_TEST_CASE(RefusesUnknownClientsAndClientsAtTheirConcurrencyLimit)
{
  VirtualClock clock;
  Admission admission({}, clock, 1);
  admission.Configure(MakeManifest(0, 2));
  BOOST_TEST((admission.Admit({ "nobody", 0, 1 }).error().kind == ErrorKind::Unauthorized));
  auto first = admission.Admit({ "large", 0, 1 });
  {
    const auto second = admission.Admit({ "large", 0, 1 });
    BOOST_TEST(second.has_value());
    const auto third = admission.Admit({ "large", 0, 1 });
    BOOST_TEST((third.error().kind == ErrorKind::ClientOverLimit));
    BOOST_TEST((third.error().ran == Ran::No));
    BOOST_TEST(third.error().retryAfter.has_value());
  }
  BOOST_TEST(admission.Admit({ "large", 0, 1 }).has_value());
}

BOOST_AUTO_TEST_CASE(RequestIsAdmittedAfterTheRetryAfterOfTheRateLimit)
{
  VirtualClock clock;
  Admission admission({}, clock, 1);
  admission.Configure(MakeManifest(100, 0));
  BOOST_TEST(admission.Admit({ "large", 0, 200 }).has_value());
  const auto refused = admission.Admit({ "large", 0, 100 });
  BOOST_REQUIRE(!refused.has_value());
  clock.Advance(*refused.error().retryAfter - Milliseconds(10));
  BOOST_TEST(!admission.Admit({ "large", 0, 100 }).has_value());
  clock.Advance(Milliseconds(10));
  BOOST_TEST(admission.Admit({ "large", 0, 100 }).has_value());
}

BOOST_AUTO_TEST_CASE(ConcurrencyLimitHoldsAcrossDaemons)
{
  constexpr int kLimit = 30;
  constexpr std::size_t kDaemons = 8;
  const Manifest manifest = MakeManifest(0, kLimit);
  VirtualClock clock;
  std::vector<std::unique_ptr<Admission>> daemons;
  for (std::size_t index = 0; index < kDaemons; ++index) {
    daemons.push_back(std::make_unique<Admission>(AdmissionSettings{}, clock, index));
    daemons.back()->Configure(manifest);
  }
  std::vector<Ticket> tickets;
  for (int round = 0; round < 20; ++round) {
    for (std::size_t from = 0; from < kDaemons; ++from) {
      const auto demand = daemons[from]->CollectDemand();
      for (std::size_t to = 0; to < kDaemons; ++to) {
        if (to != from) {
          daemons[to]->OnPeerDemand(from, demand);
        }
      }
    }
    clock.Advance(Milliseconds(500));

    // Two daemons receive most of the requests; the first rounds only announce the daemons to each other
    for (std::size_t attempt = 0; round >= 2 && attempt < 40; ++attempt) {
      auto ticket =
        daemons[attempt % 4 == 0 ? attempt % kDaemons : attempt % 2]->Admit({ "large", 0, 100 });
      if (ticket) {
        tickets.push_back(std::move(ticket.value()));
      }
    }
    BOOST_TEST(tickets.size() < kLimit + kDaemons);
  }
  BOOST_TEST(tickets.size() >= static_cast<std::size_t>(kLimit));
  BOOST_TEST_MESSAGE("most at once: " << tickets.size() << ", limit " << kLimit);
}

BOOST_AUTO_TEST_CASE(SharesSumToOneAndFollowDemand)
{
  VirtualClock clock;
  const AdmissionSettings settings;
  std::vector<DemandView> views(3, DemandView(settings, clock));
  const std::array<std::vector<ClientDemand>, 3> demands{ std::vector<ClientDemand>{ { 1, 60, 0 } },
                                                          { { 1, 30, 0 } },
                                                          {} };
  for (int round = 0; round < 2; ++round) {
    for (std::size_t from = 0; from < 3; ++from) {
      views[from].OnOwnDemandSent(demands[from]);
      for (std::size_t to = 0; to < 3; ++to) {
        if (to != from) {
          views[to].OnPeerDemand(from, demands[from]);
        }
      }
    }
  }
  double sum = 0;
  for (const DemandView& view : views) {
    sum += view.ShareOf(1).rateShare;
    BOOST_TEST(view.ShareOf(2).rateShare == 1.0 / 3, boost::test_tools::tolerance(1e-9));
  }
  BOOST_TEST(sum == 1, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(views[0].ShareOf(1).rateShare > views[1].ShareOf(1).rateShare);

  // Peers without messages for longer than peerTimeout are not counted
  clock.Advance(settings.peerTimeout + Milliseconds(1));
  BOOST_TEST(views[0].LiveDaemons() == 1);
  BOOST_TEST(views[0].ShareOf(1).rateShare == 1);
}

BOOST_AUTO_TEST_CASE(ShedsTheLowestRankAndTheClientAboveItsFairShareFirst)
{
  VirtualClock clock;
  Admission admission({}, clock, 1);
  admission.Configure(MakeManifest(0, 0));
  std::vector<Ticket> running;
  running.reserve(20);
  for (int index = 0; index < 20; ++index) {
    running.push_back(std::move(admission.Admit({ "large", 0, 1 }).value()));
  }
  admission.SetPressure(1.0);
  int large = 0;
  int small = 0;
  for (int index = 0; index < 200; ++index) {
    BOOST_TEST(admission.Admit({ "large", 1, 1 }).has_value());
    large += admission.Admit({ "large", 0, 1 }).has_value() ? 1 : 0;
    small += admission.Admit({ "small", 0, 1 }).has_value() ? 1 : 0;
  }
  BOOST_TEST(small > large);
  admission.SetPressure(1.5);
  const auto shed = admission.Admit({ "large", 0, 1 });
  BOOST_TEST((shed.error().kind == ErrorKind::Overloaded));
  BOOST_TEST((shed.error().ran == Ran::No));
  BOOST_TEST(shed.error().retryAfter.has_value());
}

/// The first requests of a client in a large idle deployment. Guards against a bucket that treats all other daemons as
/// unreachable because none of them has a total to report for the client; it refused a quarter of the first requests.
BOOST_AUTO_TEST_CASE(ClientWithoutPriorDemandHasItsFullBucket)
{
  constexpr int kDaemons = 295;
  VirtualClock clock;
  AdmissionSettings settings;
  settings.pooled = true;
  Admission admission(settings, clock, 1);
  admission.SetDaemonCount(kDaemons);
  Manifest manifest = MakeManifest(1000, 0);
  manifest.clients.front().burstTokens = 1000;
  admission.Configure(manifest);
  for (int round = 0; round < 40; ++round) {
    clock.Advance(Milliseconds(500));
    static_cast<void>(admission.CollectDemand());
    admission.OnAggregatedDemand({ 1, kDaemons - 1, {} });
  }
  BOOST_TEST(admission.Admit({ "large", 0, 400 }).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
