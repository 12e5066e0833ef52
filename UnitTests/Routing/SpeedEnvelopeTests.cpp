#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Routing/SpeedModel.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace lagoonward;

namespace {

/// What a load pattern does to engines whose true speed is known.
struct Pattern
{
  double requestsPerSecond = 20;
  double hitPart = 0.7;    ///< Prompts whose shared part the endpoint has read before.
  double repeatedPart = 0; ///< Prompts that it has read whole before, unknown to the daemon.
  double stalledPart = 0;  ///< Answers that the daemon itself reads late.
  int slowEndpoints = 0;   ///< That are three times slower than the others.
};

/// Twelve engines before one daemon. Each reads prompts one after the other and makes tokens beside; the daemon sees
/// when first tokens and later ones come. Ordinary grounds: 9,000 tokens of prompt, a third of it the request's own.
class Engines
{
public:
  Engines(double aPromptTokensPerSecond, double aStepSeconds)
    : promptTokensPerSecond(aPromptTokensPerSecond)
    , stepSeconds(aStepSeconds)
  {
  }

  void Play(const Pattern& aPattern, double aSeconds)
  {
    std::uniform_real_distribution<double> chance(0, 1);
    std::exponential_distribution<double> gap(aPattern.requestsPerSecond);
    std::lognormal_distribution<double> fresh(7.6, 0.7);
    for (double seconds = 0; seconds < aSeconds;) {
      const double pause = gap(this->random);
      seconds += pause;
      this->clock.Advance(
        std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(pause)));
      const double now = ToSeconds(this->clock.Now().time_since_epoch());
      const std::size_t place = this->random() % this->freeAt.size();
      const double slowness = static_cast<int>(place) < aPattern.slowEndpoints ? 3 : 1;
      const int own = std::clamp(static_cast<int>(fresh(this->random)), 100, 12'000);
      double read = own + (chance(this->random) < aPattern.hitPart ? 0 : 6'000);
      read = chance(this->random) < aPattern.repeatedPart ? 0 : read;
      const double begin = std::max(now, this->freeAt[place]);
      this->freeAt[place] = begin + slowness * read / this->promptTokensPerSecond;
      const double step = slowness * this->stepSeconds;
      const double stall = chance(this->random) < aPattern.stalledPart ? 0.3 : 0;
      this->model.ObserveFreshPrompt(this->index, this->clock.Now(), own,
                                     this->freeAt[place] - now + step + stall);
      // Prompts that are read in between lengthen the pauses of most streams
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

/// The aim: within 15 in 100 of the truth.
const auto kAim = boost::test_tools::tolerance(0.15);

void
CheckLearned(const Engines& aEngines)
{
  BOOST_TEST(aEngines.model.IsLearned(aEngines.index));
  BOOST_TEST(aEngines.LearnedSpeed() == aEngines.promptTokensPerSecond, kAim);
  BOOST_TEST(aEngines.LearnedStep() == aEngines.stepSeconds * 1.01, kAim);
}

} // namespace

BOOST_AUTO_TEST_SUITE(SpeedEnvelopeTests)

/// Load pattern: steady, engines between a quarter and four times as fast as usual, about half busy.
BOOST_AUTO_TEST_CASE(LearnsEnginesOfAnySpeedFromSteadyTrafficInFiveSeconds)
{
  for (const double factor : { 0.25, 0.5, 1.0, 2.0, 4.0 }) {
    Engines engines(40'000 * factor, 0.006 / factor);
    engines.Play({ .requestsPerSecond = 60 * factor }, 5);
    CheckLearned(engines);
  }
}

BOOST_AUTO_TEST_CASE(SaysNothingFromAFewAnswers)
{
  Engines engines(40'000, 0.006);
  engines.Play({ .requestsPerSecond = 2 }, 2);
  BOOST_TEST(!engines.model.IsLearned(engines.index));
}

/// Load pattern: four of twelve endpoints are three times slower than the others.
BOOST_AUTO_TEST_CASE(SlowEndpointsDoNotTeachTheClass)
{
  Engines engines(40'000, 0.006);
  engines.Play({ .requestsPerSecond = 40, .slowEndpoints = 4 }, 10);
  CheckLearned(engines);
}

/// Load pattern: one answer in five is read late by the daemon itself; one prompt in twenty was read before.
BOOST_AUTO_TEST_CASE(StallsAndRepeatedPromptsChangeLittle)
{
  Engines engines(40'000, 0.006);
  engines.Play({ .repeatedPart = 0.05, .stalledPart = 0.2 }, 10);
  CheckLearned(engines);
}

/// Load pattern: a wave that is half as much again as the engines can read, for ten seconds.
BOOST_AUTO_TEST_CASE(BusyEnginesAreNotTakenForSlowOnes)
{
  Engines engines(40'000, 0.006);
  engines.Play({}, 10);
  engines.Play({ .requestsPerSecond = 160 }, 10);
  CheckLearned(engines);
}

/// Load pattern: all engines are replaced by ones of half, then of twice the speed.
BOOST_AUTO_TEST_CASE(FollowsAChangeOfSpeedInFifteenSeconds)
{
  for (const double factor : { 0.5, 2.0 }) {
    Engines engines(40'000, 0.006);
    engines.Play({ .requestsPerSecond = 30 }, 20);
    engines.promptTokensPerSecond *= factor;
    engines.stepSeconds /= factor;
    engines.Play({ .requestsPerSecond = 30 }, 15);
    CheckLearned(engines);
  }
}

BOOST_AUTO_TEST_CASE(AFreshDaemonGoesByWhatOthersTell)
{
  VirtualClock clock;
  SpeedModel model({});
  model.OnPeerReport(1, { "engines", 1.0 / 30'000, 0.005, 0.0001, 50 }, clock.Now());
  model.OnPeerReport(2, { "engines", 1.0 / 33'000, 0.006, 0.0001, 50 }, clock.Now());
  // One that errs does not decide
  model.OnPeerReport(3, { "engines", 1.0 / 500'000, 0.006, 0.0001, 50 }, clock.Now());
  // What no engine can be is not believed
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
