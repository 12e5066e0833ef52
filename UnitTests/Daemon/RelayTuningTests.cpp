#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Daemon/RelayTuning.h"
#include "Lagoonward/Wire/HttpServer.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(RelayTuningTests)

BOOST_AUTO_TEST_CASE(ResponsesMayTakeAQuarterOfTheMemoryOfTheProcess)
{
  RelayDaemonSettings settings;
  BOOST_TEST(RelaySettingsOf(settings).maximumResponseMemory ==
             RelaySettings{}.maximumResponseMemory);
  settings.memoryMegabytes = 260;
  BOOST_TEST(RelaySettingsOf(settings).maximumResponseMemory == 65U << 20U);
}

/// Guards against a bound below the size of a single response, none of which could be passed on then.
BOOST_AUTO_TEST_CASE(LargestResponseFitsIntoLittleMemory)
{
  RelayDaemonSettings settings;
  settings.memoryMegabytes = 1;
  const RelaySettings relay = RelaySettingsOf(settings);
  BOOST_TEST(relay.maximumResponseMemory >= 2 * relay.maximumResponseBytes);
}

BOOST_AUTO_TEST_CASE(LargestRequestFitsIntoLittleMemory)
{
  RelayDaemonSettings settings;
  settings.memoryMegabytes = 1;
  VirtualClock clock;
  const ConnectionTable table(ConnectionTableSettingsOf(settings), clock);
  BOOST_TEST(table.MaximumBodyBytes() >= HttpLimits().maximumBodyBytes);
}

BOOST_AUTO_TEST_SUITE_END()
