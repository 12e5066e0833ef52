#include "Lagoonward/Routing/SpeedModel.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(SpeedModelTests)

BOOST_AUTO_TEST_CASE(LearnsASpeedThatDiffersFromThePriors)
{
  SpeedModel model({});
  const std::size_t index = model.IndexOf("slow");
  for (int observation = 0; observation < 5000; ++observation) {
    const int batch = 1 + observation % 20;
    model.ObserveStep(index, batch, 0.03 + 0.002 * batch);
    model.ObservePrefill(index, 4000, batch, 4000 * (0.0004 + 0.00001 * batch));
  }
  BOOST_TEST(model.Get(index).StepSeconds(10) == 0.05, boost::test_tools::tolerance(0.05));
  BOOST_TEST(model.Get(index).PrefillSeconds(10) == 0.0005, boost::test_tools::tolerance(0.05));

  // Other machine classes keep their priors
  BOOST_TEST(model.Get(model.IndexOf("other")).stepBaseSeconds == SpeedPriors{}.stepBaseSeconds);
}

BOOST_AUTO_TEST_CASE(StalledConnectionStaysWithinThePriorRange)
{
  const SpeedPriors priors;
  SpeedModel model(priors);
  const std::size_t index = model.IndexOf("any");
  for (int observation = 0; observation < 100; ++observation) {
    model.ObserveStep(index, 1, 3600);
  }
  BOOST_TEST(model.Get(index).stepBaseSeconds <=
             priors.stepBaseSeconds * priors.maxPriorRatio * 1.001);
}

BOOST_AUTO_TEST_CASE(LoadReportsSetTheNumberOfConcurrentSequences)
{
  SpeedModel model({});
  const std::size_t index = model.IndexOf("large");
  model.ObserveLoad(index, 0, 64);
  BOOST_TEST(model.Get(index).sequences == 64);
  for (int report = 0; report < 1000; ++report) {
    model.ObserveLoad(index, 5, 10);
  }
  BOOST_TEST(model.Get(index).sequences == 10, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_SUITE_END()
