#include "Lagoonward/Daemon/ConfigurationState.h"
#include "UnitTests/Support/SampleManifest.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::testing;

BOOST_AUTO_TEST_SUITE(ConfigurationStateTests)

BOOST_AUTO_TEST_CASE(DecodingReturnsTheEncodedConfigurationAndRejectsMalformedStates)
{
  Configuration configuration;
  configuration.market = "vestland";
  configuration.offset = 4;
  configuration.manifest = SampleManifest("vestland");
  SharedState state = EncodeConfigurationState(configuration, 9);
  BOOST_TEST(IsConfigurationState(state));
  BOOST_TEST(MarketOfState(state) == "vestland");
  const auto offer = DecodeConfigurationState(state);
  BOOST_REQUIRE(offer.has_value());
  BOOST_TEST(offer->through == 9);
  BOOST_TEST(offer->configuration->offset == 4);
  BOOST_TEST(offer->configuration->manifest.models.size() == configuration.manifest.models.size());

  state.version = 5;
  BOOST_TEST(!DecodeConfigurationState(state).has_value());
  state.bytes = "{}";
  BOOST_TEST(!DecodeConfigurationState(state).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
