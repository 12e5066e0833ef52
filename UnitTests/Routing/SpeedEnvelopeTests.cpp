#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Routing/SpeedModel.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace lagoonward;

namespace {

/// Load pattern for engines of known speed.
struct Pattern
{
  double requestsPerSecond = 20;
  /// Fraction of prompts whose shared prefix the endpoint has cached.
  double cachedPrefixFraction = 0.7;
  /// Fraction of prompts cached entirely without the daemon's knowledge.
  double cachedPromptFraction = 0;
  double stalledFraction = 0; ///< Fraction of responses that the daemon itself reads late.
  int slowEndpoints = 0;      ///< Number of endpoints that are three times slower than the others.
};

/// Twelve simulated engines and one daemon. Each engine prefills one prompt at a time and decodes in parallel; the
/// daemon observes the times of first and later tokens. Typical prompts have 9,000 tokens, a third of them unique to
/// the request.
class SimulatedEngines
{
public:
  SimulatedEngines(double aPromptTokensPerSecond, double aStepSeconds)
    : promptTokensPerSecond(aPromptTokensPerSecond)
    , stepSeconds(aStepSeconds)
  {
  }

  void Run(const Pattern& aPattern, double aSeconds)
  {
    std::uniform_real_distribution<double> chance(0, 1);
    std::exponential_distribution<double> arrivalInterval(aPattern.requestsPerSecond);
    std::lognormal_distribution<double> freshDistribution(7.6, 0.7);
    for (double seconds = 0; seconds < aSeconds;) {
      const double interval = arrivalInterval(this->random);
      seconds += interval;
      this->clock.Advance(std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(interval)));
      const double now = ToSeconds(this->clock.Now().time_since_epoch());
      const std::size_t engine = this->random() % this->freeAt.size();
      const double slowness = static_cast<int>(engine) < aPattern.slowEndpoints ? 3 : 1;
      const int freshTokens =
        std::clamp(static_cast<int>(freshDistribution(this->random)), 100, 12'000);
      double prefillTokens =
        freshTokens + (chance(this->random) < aPattern.cachedPrefixFraction ? 0 : 6'000);
      prefillTokens = chance(this->random) < aPattern.cachedPromptFraction ? 0 : prefillTokens;
      const double start = std::max(now, this->freeAt[engine]);
      this->freeAt[engine] = start + slowness * prefillTokens / this->promptTokensPerSecond;
      const double step = slowness * this->stepSeconds;
      const double stall = chance(this->random) < aPattern.stalledFraction ? 0.3 : 0;
      this->model.ObserveFreshPrompt(this->index, this->clock.Now(), freshTokens,
                                     this->freeAt[engine] - now + step + stall);
      // Prefills of other prompts lengthen the time between the tokens of most streams
      const double between = chance(this->random) < 0.6 ? step * chance(this->random) * 3 : 0;
      const double batch = 1 + 15 * chance(this->random);
      this->model.ObserveTokens(this->index, this->clock.Now(), batch,
                                step * (1 + 0.01 * batch) + between);
      this->model.Refresh(this->clock.Now());
    }
  }

  [[nodiscard]] double LearnedSpeed() const
  {
    return 1 / this->model.Get(this->index).prefillSecondsPerToken;
  }
  [[nodiscard]] double LearnedStep() const { return this->model.Get(this->index).StepSeconds(1); }

  double promptTokensPerSecond;
  double stepSeconds;
  VirtualClock clock;
  SpeedModel model{ {} };
  std::size_t index = this->model.IndexOf("engines");

private:
  std::mt19937_64 random{ 7 };
  std::vector<double> freeAt = std::vector<double>(12, 0.0);
};

/// Required accuracy: within 15% of the true value.
const auto kTolerance = boost::test_tools::tolerance(0.15);

void
CheckLearned(const SimulatedEngines& aEngines)
{
  BOOST_TEST(aEngines.model.IsLearned(aEngines.index));
  BOOST_TEST(aEngines.LearnedSpeed() == aEngines.promptTokensPerSecond, kTolerance);
  BOOST_TEST(aEngines.LearnedStep() == aEngines.stepSeconds * 1.01, kTolerance);
}

} // namespace

BOOST_AUTO_TEST_SUITE(SpeedEnvelopeTests)

/// Load pattern: steady, engines between a quarter and four times the usual speed, at about half load.
BOOST_AUTO_TEST_CASE(LearnsEnginesOfAnySpeedFromSteadyTrafficInFiveSeconds)
{
  for (const double factor : { 0.25, 0.5, 1.0, 2.0, 4.0 }) {
    SimulatedEngines engines(40'000 * factor, 0.006 / factor);
    engines.Run({ .requestsPerSecond = 60 * factor }, 5);
    CheckLearned(engines);
  }
}

BOOST_AUTO_TEST_CASE(TooFewSamplesGiveNoEstimate)
{
  SimulatedEngines engines(40'000, 0.006);
  engines.Run({ .requestsPerSecond = 2 }, 2);
  BOOST_TEST(!engines.model.IsLearned(engines.index));
}

/// Load pattern: four of twelve endpoints are three times slower than the others.
BOOST_AUTO_TEST_CASE(SlowEndpointsDoNotAffectTheClassEstimate)
{
  SimulatedEngines engines(40'000, 0.006);
  engines.Run({ .requestsPerSecond = 40, .slowEndpoints = 4 }, 10);
  CheckLearned(engines);
}

/// Load pattern: one response in five is read late by the daemon itself; one prompt in twenty was already cached.
BOOST_AUTO_TEST_CASE(StallsAndCachedPromptsDoNotDistortTheEstimate)
{
  SimulatedEngines engines(40'000, 0.006);
  engines.Run({ .cachedPromptFraction = 0.05, .stalledFraction = 0.2 }, 10);
  CheckLearned(engines);
}

/// Load pattern: for ten seconds, 1.5 times as many prompt tokens as the engines can prefill.
BOOST_AUTO_TEST_CASE(BusyEnginesAreNotMistakenForSlowOnes)
{
  SimulatedEngines engines(40'000, 0.006);
  engines.Run({}, 10);
  engines.Run({ .requestsPerSecond = 160 }, 10);
  CheckLearned(engines);
}

/// Load pattern: all engines are replaced by ones of half, then of twice the speed.
BOOST_AUTO_TEST_CASE(FollowsAChangeOfSpeedInFifteenSeconds)
{
  for (const double factor : { 0.5, 2.0 }) {
    SimulatedEngines engines(40'000, 0.006);
    engines.Run({ .requestsPerSecond = 30 }, 20);
    engines.promptTokensPerSecond *= factor;
    engines.stepSeconds /= factor;
    engines.Run({ .requestsPerSecond = 30 }, 15);
    CheckLearned(engines);
  }
}

BOOST_AUTO_TEST_CASE(NewDaemonUsesTheSpeedsReportedByPeers)
{
  VirtualClock clock;
  SpeedModel model({});
  model.OnPeerReport(1, { "engines", 1.0 / 30'000, 0.005, 0.0001, 50 }, clock.Now());
  model.OnPeerReport(2, { "engines", 1.0 / 33'000, 0.006, 0.0001, 50 }, clock.Now());
  // An outlier does not determine the result
  model.OnPeerReport(3, { "engines", 1.0 / 500'000, 0.006, 0.0001, 50 }, clock.Now());
  // Reports with impossible values are ignored
  model.OnPeerReport(4, { "engines", 0, 0.006, 0.0001, 50 }, clock.Now());
  model.OnPeerReport(5, { "engines", 1.0 / 30'000, -1, 0.0001, 50 }, clock.Now());
  model.Refresh(clock.Now());
  const std::size_t index = model.IndexOf("engines");
  BOOST_TEST(model.IsLearned(index));
  BOOST_TEST(1 / model.Get(index).prefillSecondsPerToken == 33'000,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(model.Learned().empty());
  BOOST_TEST(model.InUse().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
