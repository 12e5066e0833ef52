#include "StandIns/Platform/PlatformStandIn.h"

#include <nlohmann/json.hpp>

namespace lagoonward::standins {

namespace {

using nlohmann::json;

} // namespace

PlatformStandIn::PlatformStandIn(const PlatformSettings& aSettings, const ListenAddress& aListen,
                                 Scheduler& aScheduler, CloudStandIn::HostCallbacks aCallbacks)
  : settings(aSettings)
  , scheduler(aScheduler)
  , faults(aScheduler, { "refused_start", "truncate" })
  , log(aSettings.log, aScheduler)
  , cloud(aSettings.cloud, aScheduler, std::move(aCallbacks))
  , weightRate(aSettings.weights.readsPerSecond)
  , server(aListen, [this](const Exchange& aExchange) {
    this->faults.Filter(aExchange, [this](const Exchange& aPassed) { this->Route(aPassed); });
  })
{
  this->faults.AttachServer(&this->server);
  this->faults.OnImmediate(
    "truncate", [this](const Fault& aFault) { this->log.DropBefore(aFault.path, aFault.after); });
}

PlatformStandIn::~PlatformStandIn()
{
  this->Stop();
}

void
PlatformStandIn::Stop()
{
  this->server.Stop();
}

void
PlatformStandIn::Route(const Exchange& aExchange)
{
  try {
    if (this->RouteLog(aExchange) || this->RouteCloud(aExchange) || this->RouteControl(aExchange)) {
      return;
    }
    aExchange->Respond(404, ErrorBody("unknown_path", "No such path here."));
  } catch (const json::exception& error) {
    aExchange->Respond(400, ErrorBody("invalid_request", error.what()));
  }
}

bool
PlatformStandIn::RouteLog(const Exchange& aExchange)
{
  const auto& request = aExchange->Request();
  const std::string name(request.PathAfter("/streams/"));
  if (name.empty()) {
    return false;
  }
  if (request.method == "POST") {
    this->log.Append(aExchange, name);
  } else {
    this->log.Read(aExchange, name);
  }
  return true;
}

bool
PlatformStandIn::RouteCloud(const Exchange& aExchange)
{
  const auto& request = aExchange->Request();
  if (request.path == "/hosts" && request.method == "POST") {
    this->cloud.Start(aExchange,
                      this->faults.TryConsume("refused_start", request.path).has_value());
  } else if (request.path == "/hosts") {
    this->cloud.List(aExchange);
  } else if (const std::string id(request.PathAfter("/hosts/"));
             !id.empty() && request.method == "DELETE") {
    this->cloud.Stop(aExchange, id);
  } else if (request.path == "/prices" && request.method == "GET") {
    this->cloud.Prices(aExchange);
  } else if (request.path == "/notices") {
    this->cloud.Notices(aExchange);
  } else if (!request.PathAfter("/weights/").empty()) {
    this->AnswerWeights(aExchange);
  } else {
    return false;
  }
  return true;
}

bool
PlatformStandIn::RouteControl(const Exchange& aExchange)
{
  const auto& request = aExchange->Request();
  const std::string host(request.PathAfter("/control/hosts/"));
  if (request.path == "/reclaim" && request.method == "POST") {
    this->cloud.Reclaim(aExchange);
  } else if (request.path == "/prices" && request.method == "POST") {
    this->cloud.SetPrices(aExchange);
  } else if (request.path == "/control/hosts" && request.method == "POST") {
    this->cloud.RegisterExternal(aExchange);
  } else if (!host.empty() && request.method == "DELETE") {
    this->cloud.RemoveExternal(aExchange, host);
  } else if (request.path == "/fleet") {
    this->cloud.Describe(aExchange);
  } else if (request.path == "/stats") {
    this->AnswerStats(aExchange);
  } else {
    return false;
  }
  return true;
}

void
PlatformStandIn::AnswerWeights(const Exchange& aExchange)
{
  {
    const std::lock_guard lock(this->mutex);
    if (!this->weightRate.TryConsume()) {
      aExchange->Respond(429, ErrorBody("too_many_reads", "Too many reads a second."),
                         "application/json", { { "Retry-After", "1" } });
      return;
    }
  }
  this->scheduler.After(this->settings.weights.readTime, [this, aExchange] {
    aExchange->Respond(200, std::string(this->settings.weights.bytes, 'w'),
                       "application/octet-stream");
  });
}

void
PlatformStandIn::AnswerStats(const Exchange& aExchange)
{
  auto all = json::parse(this->log.Stats());
  all.update(json::parse(this->cloud.Stats()));
  aExchange->Respond(200, all.dump());
}

} // namespace lagoonward::standins
