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

/// Guards against parts that each seem small and together exceed the memory of the process.
BOOST_AUTO_TEST_CASE(PartsOfTheMemoryAddUpToLessThanAll)
{
  RelayDaemonSettings settings;
  for (const double megabytes : { 120.0, 160.0, 260.0, 512.0 }) {
    settings.memoryMegabytes = megabytes;
    const double bytes = megabytes * (1U << 20U);
    const auto responses = static_cast<double>(RelaySettingsOf(settings).maximumResponseMemory);
    const auto requests =
      static_cast<double>(ConnectionTableSettingsOf(settings).maximumRequestMemory);
    const ConnectionLimits limits = ConnectionLimitsOf(settings, 10'000);
    const double connections =
      (limits.callers + limits.forwarded + 2.0 * limits.probes) * (8U << 10U);
    BOOST_TEST(responses + requests + connections <= bytes * 0.65);
  }
}

/// Guards against callers that take the descriptors which the daemon needs for its endpoints and the store.
BOOST_AUTO_TEST_CASE(AcceptedConnectionsLeaveDescriptors)
{
  RelayDaemonSettings settings;
  for (const std::size_t descriptors : { 128U, 300U, 3'075U, 4'100U, 10'250U }) {
    const ConnectionLimits limits = ConnectionLimitsOf(settings, descriptors);
    const std::size_t accepted = limits.callers + limits.forwarded + 2 * limits.probes +
                                 limits.peers + std::size_t{ 4 } * HttpServer::kSpareConnections;
    BOOST_TEST(accepted < descriptors * 8 / 10);
    BOOST_TEST(limits.callers >= std::min<std::size_t>(descriptors / 4, 4096));
  }
  settings.maximumDescriptors = 300;
  BOOST_TEST(ConnectionLimitsOf(settings, 20'000).callers ==
             ConnectionLimitsOf(RelayDaemonSettings{}, 300).callers);
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
