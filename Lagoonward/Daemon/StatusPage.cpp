#include "Lagoonward/Daemon/StatusPage.h"

#include <nlohmann/json.hpp>

namespace lagoonward {

namespace {

using Json = nlohmann::json;

std::string_view
ToString(EndpointState aState)
{
  switch (aState) {
    case EndpointState::Live:
      return "live";
    case EndpointState::Leaving:
      return "leaving";
    case EndpointState::Ejected:
      return "ejected";
  }
  return "live";
}

std::string_view
ToString(PeerState aState)
{
  switch (aState) {
    case PeerState::Alive:
      return "alive";
    case PeerState::Leaving:
      return "leaving";
    case PeerState::Suspect:
      return "suspect";
    case PeerState::Dead:
      return "dead";
  }
  return "alive";
}

Json
DescribeLoad(const EndpointLoad& aLoad, WallTime aNow)
{
  Json models = Json::array();
  for (const LoadedModel& model : aLoad.models) {
    Json adapters = Json::array();
    for (const LoadedAdapter& adapter : model.adapters) {
      adapters.push_back(adapter.name + "@" + adapter.version);
    }
    models.push_back(
      { { "name", model.name }, { "version", model.version }, { "adapters", adapters } });
  }
  return { { "waiting", aLoad.waiting },
           { "running", aLoad.running },
           { "kv_blocks_used", aLoad.kvBlocksUsed },
           { "kv_blocks_total", aLoad.kvBlocksTotal },
           { "models", std::move(models) },
           { "age_ms", std::chrono::duration_cast<Milliseconds>(aNow - aLoad.asOf).count() } };
}

Json
DescribeEndpoint(const Endpoint& aEndpoint, const Clock& aClock)
{
  Json text{ { "id", aEndpoint.id },
             { "kind", aEndpoint.kind == EndpointKind::Engine ? "engine" : "service" },
             { "address", aEndpoint.address },
             { "port", aEndpoint.port },
             { "failure_domain", aEndpoint.failureDomain },
             { "machine_class", aEndpoint.machineClass },
             { "state", ToString(aEndpoint.state) },
             { "price_per_hour", aEndpoint.pricePerHour } };
  if (!aEndpoint.name.empty()) {
    text["name"] = aEndpoint.name;
  }
  if (aEndpoint.availableUntil) {
    const auto timeLeft = *aEndpoint.availableUntil - aClock.Now();
    text["gone_in_ms"] = std::chrono::duration_cast<Milliseconds>(timeLeft).count();
  }
  if (aEndpoint.load) {
    text["load"] = DescribeLoad(*aEndpoint.load, aClock.WallNow());
  }
  return text;
}

} // namespace

std::string
MakeStatusPage(const StatusSources& aSources, bool aDraining)
{
  Json markets = Json::array();
  for (const MarketStatus& market : aSources.follower.Status()) {
    markets.push_back({ { "market", market.market },
                        { "offset", market.offset },
                        { "next_offset", market.nextOffset },
                        { "certain", market.certain },
                        { "log_reachable", market.logReachable } });
  }
  Json peers = Json::array();
  const PeerViewPtr view = aSources.membership.Peers();
  for (const Peer& peer : view->peers) {
    peers.push_back({ { "id", peer.info.id },
                      { "address", peer.info.address },
                      { "port", peer.info.port },
                      { "failure_domain", peer.info.failureDomain },
                      { "region", peer.info.region },
                      { "state", ToString(peer.state) } });
  }
  Json endpoints = Json::array();
  const FleetSnapshotPtr fleet = aSources.fleet.Get();
  for (const Endpoint& endpoint : fleet->endpoints) {
    endpoints.push_back(DescribeEndpoint(endpoint, aSources.clock));
  }
  Json leases = Json::array();
  for (const LeaseStatus& lease : aSources.fleetManager.Leases()) {
    leases.push_back({ { "market", lease.market },
                       { "holder", lease.holder },
                       { "held", lease.held },
                       { "fencing", lease.fencing } });
  }
  const Json page{ { "version", LAGOONWARD_VERSION },
                   { "host_id", aSources.settings.hostId },
                   { "region", aSources.settings.region },
                   { "failure_domain", aSources.settings.failureDomain },
                   { "draining", aDraining },
                   { "requests_active", aSources.runs.ActiveRuns() },
                   { "markets", std::move(markets) },
                   { "leases", std::move(leases) },
                   { "peers", std::move(peers) },
                   { "unreachable_regions", view->unreachableRegions },
                   { "endpoints", std::move(endpoints) } };
  return page.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace lagoonward
