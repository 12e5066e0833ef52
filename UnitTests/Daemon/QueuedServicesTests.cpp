#include "Lagoonward/Daemon/QueuedServices.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

/// Services "call" and "engine" with a timeout, and "endless" without one.
RelayConfiguration
MakeConfiguration()
{
  RelayConfiguration configuration;
  for (const char* name : { "call", "engine", "endless" }) {
    RelayServiceConfiguration service;
    service.name = name;
    service.isEngine = service.name == "engine";
    configuration.services.push_back(std::move(service));
  }
  RelayRoute with;
  with.host = "a.example";
  with.prefix = "/with/";
  with.timeout = Milliseconds(100);
  with.services = { { "call", 1 }, { "engine", 1 } };
  RelayRoute without;
  without.host = with.host;
  without.prefix = "/without/";
  without.services = { { "endless", 1 } };
  auto routes = std::make_shared<RelayRoutes>(1);
  routes->AddRoute(std::make_shared<const RelayRoute>(with));
  routes->AddRoute(std::make_shared<const RelayRoute>(without));
  configuration.routes = std::move(routes);
  return configuration;
}

} // namespace

BOOST_AUTO_TEST_SUITE(QueuedServicesTests)

/// Guards against queues for services that the setting leaves out, and for callers of whom it is not known how long they wait.
BOOST_AUTO_TEST_CASE(ServicesWithATimeoutAreQueuedAsTheSettingSays)
{
  const RelayConfiguration configuration = MakeConfiguration();
  for (const char* service : { "call", "engine", "endless", "unknown" }) {
    BOOST_TEST(!IsServiceQueued(RequestQueueing::Off, configuration, service));
  }
  BOOST_TEST(IsServiceQueued(RequestQueueing::Calls, configuration, "call"));
  BOOST_TEST(!IsServiceQueued(RequestQueueing::Calls, configuration, "engine"));
  BOOST_TEST(IsServiceQueued(RequestQueueing::All, configuration, "call"));
  BOOST_TEST(IsServiceQueued(RequestQueueing::All, configuration, "engine"));
  for (const RequestQueueing queueing : { RequestQueueing::Calls, RequestQueueing::All }) {
    BOOST_TEST(!IsServiceQueued(queueing, configuration, "endless"));
    BOOST_TEST(!IsServiceQueued(queueing, configuration, "unknown"));
  }
}

BOOST_AUTO_TEST_SUITE_END()
