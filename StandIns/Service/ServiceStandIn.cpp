#include "StandIns/Service/ServiceStandIn.h"

#include "Lagoonward/Core/Hash.h"
#include "StandIns/Engine/TokenFunction.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lagoonward::standins {

namespace {

using nlohmann::json;

/// What a call is counted under.
std::string
CountKey(const HttpRequest& aRequest)
{
  const auto key = aRequest.Header("idempotency-key");
  return key.empty() ? fmt::format("body:{:016x}", HashBytes(aRequest.body)) : std::string(key);
}

} // namespace

ServiceStandIn::ServiceStandIn(ServiceSettings aSettings, const ListenAddress& aListen,
                               Scheduler& aScheduler)
  : settings(std::move(aSettings))
  , scheduler(aScheduler)
  , faults(aScheduler, { "refuse", "vanish" })
  , server(aListen, [this](const Exchange& aExchange) {
    this->faults.Filter(aExchange, [this](const Exchange& aPassed) { this->Route(aPassed); });
  })
{
  this->faults.Attach(&this->server);
  this->faults.OnImmediate("vanish", [this](const Fault& aFault) {
    this->scheduler.After(aFault.duration, [this] { this->Vanish(); });
  });
}

ServiceStandIn::~ServiceStandIn()
{
  this->Vanish();
}

void
ServiceStandIn::Vanish()
{
  {
    const std::lock_guard lock(this->mutex);
    this->vanished = true;
  }
  this->server.Stop();
}

std::map<std::string, std::int64_t>
ServiceStandIn::Executions()
{
  const std::lock_guard lock(this->mutex);
  return this->executions;
}

void
ServiceStandIn::Route(const Exchange& aExchange)
{
  const auto& request = aExchange->Request();
  if (request.path == "/executions") {
    aExchange->Respond(200, json(this->Executions()).dump());
    return;
  }
  if (request.method != "POST") {
    aExchange->Respond(405, ErrorBody("method_not_allowed", "A call is a POST."));
    return;
  }
  if (this->faults.Take("refuse", request.path)) {
    aExchange->Respond(503, ErrorBody("overloaded", "The service takes nothing now."));
    return;
  }
  this->scheduler.After(this->settings.workTime, [this, aExchange] { this->Execute(aExchange); });
}

void
ServiceStandIn::Execute(const Exchange& aExchange)
{
  const auto& request = aExchange->Request();
  std::int64_t count = 0;
  {
    const std::lock_guard lock(this->mutex);
    if (this->vanished) {
      return;
    }
    count = ++this->executions[CountKey(request)];
  }
  aExchange->Respond(
    200, json{ { "service", this->settings.name },
               { "path", request.path },
               { "result", ServiceResult(this->settings.name, request.path, request.body) },
               { "execution", count } }
           .dump());
}

} // namespace lagoonward::standins
