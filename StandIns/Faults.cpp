#include "StandIns/Faults.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace lagoonward::standins {

namespace {

using nlohmann::json;

constexpr std::array kCommonKinds{ "slow", "hang", "lost_answer", "outage", "silent" };

bool
StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

json
ToJson(const Fault& aFault)
{
  return { { "fault", aFault.kind }, { "count", aFault.count }, { "ms", aFault.duration.count() },
           { "path", aFault.path },  { "after", aFault.after }, { "mode", aFault.mode } };
}

/// Throws json::exception if a field has the wrong type.
Fault
ToFault(const json& aJson)
{
  Fault fault;
  fault.kind = aJson.at("fault").get<std::string>();
  fault.count = aJson.value("count", std::int64_t{ 1 });
  fault.duration = std::chrono::milliseconds(aJson.value("ms", std::int64_t{ 0 }));
  fault.path = aJson.value("path", std::string());
  fault.after = aJson.value("after", std::int64_t{ 0 });
  fault.mode = aJson.value("mode", std::string());
  fault.requestedAt = std::chrono::steady_clock::now();
  return fault;
}

} // namespace

std::string
ErrorBody(std::string_view aKind, std::string_view aMessage)
{
  return json{ { "error", { { "kind", aKind }, { "message", aMessage } } } }.dump();
}

Faults::Faults(Scheduler& aScheduler, std::vector<std::string> aOwnKinds)
  : scheduler(aScheduler)
  , ownKinds(std::move(aOwnKinds))
{
}

void
Faults::AttachServer(HttpServer* aServer)
{
  const std::lock_guard lock(this->mutex);
  this->server = aServer;
}

void
Faults::OnImmediate(std::string aKind, std::function<void(const Fault&)> aAction)
{
  this->immediateActions.emplace_back(std::move(aKind), std::move(aAction));
}

void
Faults::Filter(const Exchange& aExchange, const Handler& aHandler)
{
  const auto& path = aExchange->Request().path;
  if (path == "/faults") {
    this->HandleControl(aExchange);
    return;
  }
  if (this->TryApplyOutage(aExchange)) {
    return;
  }
  if (this->TryConsume("hang", path)) {
    return; // the request is accepted and never answered
  }
  if (this->TryConsume("lost_answer", path)) {
    // The handler executes the request; its response is discarded and the connection closed
    aExchange->DropAnswer();
  }
  if (const auto slow = this->TryConsume("slow", path)) {
    this->scheduler.After(slow->duration, [aExchange, aHandler] { aHandler(aExchange); });
    return;
  }
  aHandler(aExchange);
}

bool
Faults::TryApplyOutage(const Exchange& aExchange)
{
  std::string mode;
  {
    const std::lock_guard lock(this->mutex);
    const auto now = std::chrono::steady_clock::now();
    const auto found =
      std::find_if(this->faults.begin(), this->faults.end(), [&](const Fault& aFault) {
        return aFault.kind == "outage" && now < aFault.requestedAt + aFault.duration &&
               StartsWith(aExchange->Request().path, aFault.path);
      });
    if (found == this->faults.end()) {
      return false;
    }
    mode = found->mode;
  }
  if (mode == "silent") {
    return true;
  }
  if (mode == "reset") {
    aExchange->Abort();
    return true;
  }
  aExchange->Respond(503, ErrorBody("outage", "The service is unavailable."));
  return true;
}

std::optional<Fault>
Faults::TryConsume(std::string_view aKind, std::string_view aPath)
{
  const std::lock_guard lock(this->mutex);
  const auto found =
    std::find_if(this->faults.begin(), this->faults.end(), [&](const Fault& aFault) {
      return aFault.kind == aKind && StartsWith(aPath, aFault.path);
    });
  if (found == this->faults.end()) {
    return std::nullopt;
  }
  const auto taken = *found;
  if (--found->count <= 0) {
    this->faults.erase(found);
  }
  return taken;
}

void
Faults::HandleControl(const Exchange& aExchange)
{
  const auto& method = aExchange->Request().method;
  if (method == "POST") {
    this->Add(aExchange);
    return;
  }
  json list = json::array();
  {
    const std::lock_guard lock(this->mutex);
    if (method == "DELETE") {
      this->faults.clear();
    }
    for (const auto& fault : this->faults) {
      list.push_back(ToJson(fault));
    }
  }
  aExchange->Respond(200, list.dump());
}

bool
Faults::IsKnown(const std::string& aKind) const
{
  return std::find(kCommonKinds.begin(), kCommonKinds.end(), aKind) != kCommonKinds.end() ||
         std::find(this->ownKinds.begin(), this->ownKinds.end(), aKind) != this->ownKinds.end();
}

void
Faults::Add(const Exchange& aExchange)
{
  Fault fault;
  try {
    fault = ToFault(json::parse(aExchange->Request().body));
  } catch (const json::exception& error) {
    aExchange->Respond(400, ErrorBody("invalid_request", error.what()));
    return;
  }
  if (!this->IsKnown(fault.kind)) {
    aExchange->Respond(400, ErrorBody("unknown_fault", "No such fault here: " + fault.kind));
    return;
  }
  this->Apply(fault, aExchange);
  aExchange->Respond(200, ToJson(fault).dump());
}

void
Faults::Apply(const Fault& aFault, const Exchange& aExchange)
{
  // `silent` and the registered kinds take effect immediately, on the current state
  if (aFault.kind == "silent") {
    const std::lock_guard lock(this->mutex);
    if (this->server != nullptr) {
      this->server->SilenceOtherConnections(*aExchange);
    }
    return;
  }
  for (const auto& [kind, action] : this->immediateActions) {
    if (kind == aFault.kind) {
      action(aFault);
      return;
    }
  }
  const std::lock_guard lock(this->mutex);
  this->faults.push_back(aFault);
}

} // namespace lagoonward::standins
