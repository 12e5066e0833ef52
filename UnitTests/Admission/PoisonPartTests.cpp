#include "Lagoonward/Admission/PoisonRequestFilter.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace lagoonward;

namespace {

constexpr std::uint64_t kTemplate = 1;
constexpr std::uint64_t kDeadly = 2;

struct Fixture
{
  Fixture()
  {
    this->settings.crashesToPoison = 4;
    this->settings.maximumRequests = 64;
  }

  /// Reports a crash of another endpoint under a request with these parts, for each of them.
  void Crash(PoisonRequestFilter& aFilter, const std::vector<std::uint64_t>& aParts)
  {
    ++this->endpoint;
    this->clock.Advance(Milliseconds(300));
    for (const std::uint64_t part : aParts) {
      CrashReport report;
      report.request = part;
      report.endpoint = this->endpoint;
      report.domain = this->endpoint % 3;
      for (const std::uint64_t other : aParts) {
        if (other != part && !aFilter.HasCompletedRecently(other)) {
          report.companions.Add(other);
        }
      }
      aFilter.OnCrash(report);
    }
  }

  static bool IsRefused(PoisonRequestFilter& aFilter, const std::vector<std::uint64_t>& aParts)
  {
    return aFilter.IsAnyPoisoned(aParts);
  }

  VirtualClock clock;
  PoisonFilterSettings settings;
  std::uint64_t endpoint = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PoisonPartTests, Fixture)

/// Guards against a part that all requests of a kind share being blamed for what another part does.
BOOST_AUTO_TEST_CASE(PartWithWhichRequestsCompleteIsNotBlamed)
{
  PoisonRequestFilter parts(this->settings, this->clock);
  for (int time = 0; time < 4; ++time) {
    parts.OnRequestCompleted(kTemplate);
    this->Crash(parts, { kTemplate, kDeadly });
  }
  BOOST_TEST(IsRefused(parts, { kTemplate, kDeadly }));
  BOOST_TEST(IsRefused(parts, { 7, kDeadly, 8 }));
  BOOST_TEST(!IsRefused(parts, { kTemplate }));
  BOOST_TEST(!IsRefused(parts, { kTemplate, 7 }));
}

/// Guards against a harmless part that came with the deadly one only: requests that have it without that one were refused.
BOOST_AUTO_TEST_CASE(PartThatCameWithTheDeadlyOneOnlyIsTriedWithoutIt)
{
  PoisonRequestFilter parts(this->settings, this->clock);
  for (int time = 0; time < 4; ++time) {
    this->Crash(parts, { kTemplate, kDeadly });
  }
  BOOST_TEST(IsRefused(parts, { kTemplate, kDeadly }));
  BOOST_TEST(!IsRefused(parts, { kTemplate, 7 }));
  parts.OnRequestCompleted(kTemplate);
  BOOST_TEST(!IsRefused(parts, { kTemplate }));
  // The deadly one is still refused together with it, and after one more crash without it, everywhere
  BOOST_TEST(IsRefused(parts, { kTemplate, kDeadly }));
  this->Crash(parts, { kDeadly, 9 });
  BOOST_TEST(IsRefused(parts, { kDeadly }));
}

BOOST_AUTO_TEST_CASE(VerdictsOfTwoDaemonsAgreeOnTheCompanionsThatBothHave)
{
  PoisonRequestFilter first(this->settings, this->clock);
  PoisonRequestFilter second(this->settings, this->clock);
  for (int time = 0; time < 4; ++time) {
    this->Crash(first, { kDeadly, 8, 9 });
    this->Crash(second, { kDeadly, 7, 9 });
  }
  BOOST_TEST(!IsRefused(first, { kDeadly, 9 }));
  first.OnVerdicts(second.Verdicts());
  second.OnVerdicts(first.Verdicts());
  BOOST_TEST(IsRefused(first, { kDeadly, 9 }));
  BOOST_TEST(IsRefused(second, { kDeadly, 9 }));
  BOOST_TEST(!IsRefused(first, { kDeadly }));
}

/// Guards against callers who make parts up and so push those that crash endpoints out of memory.
BOOST_AUTO_TEST_CASE(PartsWithFewCrashesAreEvictedFirst)
{
  PoisonRequestFilter parts(this->settings, this->clock);
  this->Crash(parts, { kDeadly });
  this->Crash(parts, { kDeadly });
  for (std::uint64_t made = 0; made < 200; ++made) {
    this->Crash(parts, { 1000 + made });
  }
  this->Crash(parts, { kDeadly });
  this->Crash(parts, { kDeadly });
  BOOST_TEST(IsRefused(parts, { kDeadly }));
}

/// With 2 to 600 daemons that all get requests with the part, and verdicts that take one second to all of them: none is
/// sent later than that.
BOOST_AUTO_TEST_CASE(VerdictReachesAllDaemonsInOneRound)
{
  for (const int daemons : { 2, 40, 300, 600 }) {
    std::vector<std::unique_ptr<PoisonRequestFilter>> filters;
    filters.reserve(static_cast<std::size_t>(daemons));
    for (int index = 0; index < daemons; ++index) {
      filters.push_back(std::make_unique<PoisonRequestFilter>(this->settings, this->clock));
    }
    PoisonRequestFilter& owner = *filters.front();
    int crashes = 0;
    int late = 0;
    for (int request = 0; request < 40; ++request) {
      PoisonRequestFilter& daemon = *filters.at(static_cast<std::size_t>(request * 7 % daemons));
      if (!IsRefused(daemon, { kTemplate, kDeadly })) {
        owner.OnRequestCompleted(kTemplate);
        this->Crash(owner, { kTemplate, kDeadly });
        ++crashes;
        late += crashes > 4 + 4 ? 1 : 0;
      } else {
        this->clock.Advance(Milliseconds(300));
      }
      if (request % 4 == 3) {
        for (const auto& filter : filters) {
          filter->OnVerdicts(owner.Verdicts());
        }
      }
    }
    BOOST_TEST(late == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
