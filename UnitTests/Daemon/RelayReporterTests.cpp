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
  state.endpointsOfOtherServices = { 2, 1 };
  const std::string first = reporter.MetricsText(state);
  BOOST_TEST(first.find("lagoonward_relay_configuration_version 7\n") != std::string::npos);
  BOOST_TEST(first.find("lagoonward_relay_endpoints{service=\"s\",state=\"live\"} 3\n") !=
             std::string::npos);
  BOOST_TEST(first.find("lagoonward_relay_leads 1\n") != std::string::npos);
  BOOST_TEST(first.find("lagoonward_relay_endpoints_age_seconds 0.75\n") != std::string::npos);

  BOOST_TEST(first.find("lagoonward_relay_endpoints_of_other_services 3\n") != std::string::npos);
  BOOST_TEST(first.find("process_start_time_seconds ") != std::string::npos);

  // A service that has lost its endpoints is reported with zero, not with its last count
  state.endpoints["s"] = {};
  state.isLeader = false;
  const std::string second = reporter.MetricsText(state);
  BOOST_TEST(second.find("lagoonward_relay_endpoints{service=\"s\",state=\"live\"} 0\n") !=
             std::string::npos);
  BOOST_TEST(second.find("lagoonward_relay_leads 0\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(MetricsShowTheQueuesOfThisDaemon)
{
  const VirtualClock clock;
  RelayReporter reporter(clock);
  RelayState state;
  state.queues = { 2, 5, 7, 8, { 30, 20, 10 } };
  static_cast<void>(reporter.MetricsText(state));
  state.queues.counts.granted = 31;
  // A second reading shows the counts as they are, not their sum
  const std::string text = reporter.MetricsText(state);
  for (const char* line :
       { "lagoonward_relay_queues 2\n", "lagoonward_relay_queue_waiting 5\n",
         "lagoonward_relay_queue_slots_taken 7\n", "lagoonward_relay_queue_slots 8\n",
         "lagoonward_relay_slot_requests_total{outcome=\"granted\"} 31\n",
         "lagoonward_relay_slot_requests_total{outcome=\"queued\"} 20\n",
         "lagoonward_relay_slot_requests_total{outcome=\"refused\"} 10\n" }) {
    BOOST_TEST(text.find(line) != std::string::npos, line);
  }
}

BOOST_AUTO_TEST_CASE(MetricsShowHowLongRequestsWaitForASlot)
{
  const VirtualClock clock;
  RelayReporter reporter(clock);
  RelayCall call;
  call.service = "s";
  SendRecord direct;
  direct.send = 1;
  reporter.OnSent(call, {}, direct);
  BOOST_TEST(reporter.MetricsText({}).find("lagoonward_relay_slot_wait_seconds_count") ==
             std::string::npos);
  SendRecord queued;
  queued.send = 1;
  queued.slotWait = Milliseconds(300);
  reporter.OnSent(call, {}, queued);
  const std::string text = reporter.MetricsText({});
  BOOST_TEST(text.find("lagoonward_relay_slot_wait_seconds_count{service=\"s\"} 1\n") !=
             std::string::npos);
  BOOST_TEST(text.find("lagoonward_relay_slot_wait_seconds_sum{service=\"s\"} 0.3\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
