#include "StandIns/Service/ServiceStandIn.h"

#include "StandIns/Engine/TokenFunction.h"

#include <nlohmann/json.hpp>

namespace lagoonward::standins {

namespace {

using nlohmann::json;

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
  this->faults.AttachServer(&this->server);
  this->faults.OnImmediate("vanish", [this](const Fault& aFault) {
    this->scheduler.After(aFault.duration, [this] { this->Terminate(); });
  });
}

ServiceStandIn::~ServiceStandIn()
{
  this->Terminate();
}

void
ServiceStandIn::Terminate()
{
  {
    const std::lock_guard lock(this->mutex);
    this->terminated = true;
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
    aExchange->Respond(405, ErrorBody("method_not_allowed", "Calls require the POST method."));
    return;
  }
  if (this->faults.TryConsume("refuse", request.path)) {
    aExchange->Respond(503,
                       ErrorBody("overloaded", "The service does not accept requests at present."));
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
    if (this->terminated) {
      return;
    }
    count = ++this->executions[ExecutionKey(request.body)];
    if (const auto key = request.Header("idempotency-key"); !key.empty()) {
      ++this->executions[std::string(key)];
    }
  }
  aExchange->Respond(
    200, json{ { "service", this->settings.name },
               { "path", request.path },
               { "result", ServiceResult(this->settings.name, request.path, request.body) },
               { "execution", count } }
           .dump());
}

} // namespace lagoonward::standins
