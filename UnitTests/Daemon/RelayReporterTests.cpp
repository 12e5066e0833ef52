#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Daemon/RelayReporter.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(RelayReporterTests)

BOOST_AUTO_TEST_CASE(MetricsShowTheCurrentState)
{
  const VirtualClock clock;
  RelayReporter reporter(clock);
  RelayState state;
  state.configurationVersion = 7;
  state.endpoints["s"] = { 3, 1 };
  state.daemons = 70;
  state.isLeader = true;
  state.endpointsAge = Milliseconds(750);
  const std::string first = reporter.MetricsText(state);
  BOOST_TEST(first.find("lagoonward_relay_configuration_version 7\n") != std::string::npos);
  BOOST_TEST(first.find("lagoonward_relay_endpoints{service=\"s\",state=\"live\"} 3\n") !=
             std::string::npos);
  BOOST_TEST(first.find("lagoonward_relay_leads 1\n") != std::string::npos);
  BOOST_TEST(first.find("lagoonward_relay_endpoints_age_seconds 0.75\n") != std::string::npos);

  // A service that has lost its endpoints is reported with zero, not with its last count
  state.endpoints["s"] = {};
  state.isLeader = false;
  const std::string second = reporter.MetricsText(state);
  BOOST_TEST(second.find("lagoonward_relay_endpoints{service=\"s\",state=\"live\"} 0\n") !=
             std::string::npos);
  BOOST_TEST(second.find("lagoonward_relay_leads 0\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
