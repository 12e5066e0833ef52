#include "StandIns/Platform/CloudStandIn.h"

#include "Lagoonward/Core/Clock.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonward::standins {

namespace {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

/// Maximum duration of a long poll.
constexpr std::int64_t kMaxWaitMs = 30000;

/// Price per hour of an on-demand host of the first machine class in the first failure domain.
constexpr double kBasePrice = 4.0;

/// Price of a reclaimable host relative to the on-demand price.
constexpr double kReclaimablePriceRatio = 0.35;

/// Increase of the price factor with each further machine class and failure domain.
constexpr double kClassPriceIncrement = 0.5;
constexpr double kDomainPriceIncrement = 0.06;

json
ToJson(const CloudHost& aHost)
{
  return { { "id", aHost.id },
           { "kind", aHost.kind },
           { "address", aHost.address },
           { "port", aHost.port },
           { "failure_domain", aHost.failureDomain },
           { "region", aHost.region },
           { "machine_class", aHost.machineClass },
           { "reclaimable", aHost.reclaimable },
           { "name", aHost.name } };
}

} // namespace

CloudStandIn::CloudStandIn(const CloudSettings& aSettings, Scheduler& aScheduler,
                           HostCallbacks aCallbacks)
  : settings(aSettings)
  , scheduler(aScheduler)
  , callbacks(std::move(aCallbacks))
{
  double classFactor = 1;
  for (const auto& machineClass : aSettings.machineClasses) {
    double domainFactor = 1;
    for (const auto& domain : aSettings.failureDomains) {
      const auto price = kBasePrice * classFactor * domainFactor;
      this->prices.push_back({ machineClass, domain, false, price });
      this->prices.push_back({ machineClass, domain, true, price * kReclaimablePriceRatio });
      domainFactor += kDomainPriceIncrement;
    }
    classFactor += kClassPriceIncrement;
  }
}

void
CloudStandIn::Register(const CloudHost& aHost)
{
  const std::lock_guard lock(this->mutex);
  // Hosts that are registered directly are listed without delay
  this->hosts[aHost.id] = { aHost, SteadyClock::now() - this->settings.hostListLag, {}, {} };
}

void
CloudStandIn::Start(const Exchange& aExchange, bool aRefuse)
{
  const auto body = json::parse(aExchange->Request().body);
  const auto token = body.at("client_token").get<std::string>();
  CloudHost host;
  host.kind = body.at("kind").get<std::string>();
  host.machineClass = body.at("machine_class").get<std::string>();
  host.failureDomain = body.at("failure_domain").get<std::string>();
  host.reclaimable = body.value("reclaimable", true);
  host.name = body.value("name", std::string());
  host.region = this->settings.region;
  const std::lock_guard lock(this->mutex);
  if (const auto existing = this->clientTokens.find(token); existing != this->clientTokens.end()) {
    aExchange->Respond(200, json{ { "id", existing->second } }.dump());
    return;
  }
  if (aRefuse) {
    ++this->refusedStarts;
    aExchange->Respond(
      503, ErrorBody("no_capacity",
                     "No host of this machine class is available in the failure domain."));
    return;
  }
  host.id = fmt::format("host-{}", ++this->nextHost);
  this->clientTokens[token] = host.id;
  this->hosts[host.id] = { host, {}, {}, {} };
  ++this->started;
  this->scheduler.After(this->settings.startTime, [this, id = host.id] { this->FinishStart(id); });
  aExchange->Respond(201, json{ { "id", host.id } }.dump());
}

void
CloudStandIn::FinishStart(const std::string& aId)
{
  CloudHost host;
  {
    const std::lock_guard lock(this->mutex);
    auto& entry = this->hosts.at(aId);
    if (entry.removedAt) {
      return;
    }
    host = entry.host;
  }
  const bool listens = this->callbacks.start && this->callbacks.start(host);
  const std::lock_guard lock(this->mutex);
  auto& entry = this->hosts.at(aId);
  if (!listens) {
    entry.removedAt = SteadyClock::now();
    return;
  }
  entry.host = host;
  entry.runningSince = SteadyClock::now();
}

void
CloudStandIn::Stop(const Exchange& aExchange, const std::string& aId)
{
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->hosts.find(aId);
    if (found == this->hosts.end()) {
      aExchange->Respond(404, ErrorBody("unknown_host", "No such host: " + aId));
      return;
    }
    found->second.leavingSince = found->second.leavingSince.value_or(SteadyClock::now());
  }
  this->scheduler.After(std::chrono::milliseconds(0), [this, aId] { this->Remove(aId); });
  aExchange->Respond(200, json{ { "id", aId } }.dump());
}

void
CloudStandIn::Remove(const std::string& aId)
{
  CloudHost host;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->hosts.find(aId);
    if (found == this->hosts.end() || found->second.removedAt) {
      return;
    }
    found->second.removedAt = SteadyClock::now();
    host = found->second.host;
  }
  if (this->callbacks.remove) {
    this->callbacks.remove(host);
  }
}

void
CloudStandIn::List(const Exchange& aExchange)
{
  const auto asOf = SteadyClock::now() - this->settings.hostListLag;
  json list = json::array();
  const std::lock_guard lock(this->mutex);
  for (const auto& [id, entry] : this->hosts) {
    const bool listed = entry.runningSince && *entry.runningSince <= asOf;
    if (!listed || (entry.removedAt && *entry.removedAt <= asOf)) {
      continue;
    }
    auto item = ToJson(entry.host);
    item["state"] = entry.leavingSince && *entry.leavingSince <= asOf ? "leaving" : "live";
    list.push_back(std::move(item));
  }
  aExchange->Respond(200, list.dump());
}

void
CloudStandIn::Prices(const Exchange& aExchange)
{
  json list = json::array();
  const std::lock_guard lock(this->mutex);
  for (const auto& price : this->prices) {
    list.push_back({ { "machine_class", price.machineClass },
                     { "failure_domain", price.failureDomain },
                     { "reclaimable", price.reclaimable },
                     { "per_hour", price.perHour } });
  }
  aExchange->Respond(200, list.dump());
}

void
CloudStandIn::SetPrices(const Exchange& aExchange)
{
  std::vector<Price> read;
  for (const auto& item : json::parse(aExchange->Request().body)) {
    read.push_back({ item.at("machine_class").get<std::string>(),
                     item.at("failure_domain").get<std::string>(),
                     item.at("reclaimable").get<bool>(), item.at("per_hour").get<double>() });
  }
  {
    const std::lock_guard lock(this->mutex);
    this->prices = std::move(read);
  }
  this->Prices(aExchange);
}

double
CloudStandIn::PriceOf(const CloudHost& aHost) const
{
  const auto found =
    std::find_if(this->prices.begin(), this->prices.end(), [&](const Price& aPrice) {
      return aPrice.machineClass == aHost.machineClass &&
             aPrice.failureDomain == aHost.failureDomain && aPrice.reclaimable == aHost.reclaimable;
    });
  return found == this->prices.end() ? 0 : found->perHour;
}

void
CloudStandIn::Notices(const Exchange& aExchange)
{
  const auto& request = aExchange->Request();
  const auto from = std::max<std::int64_t>(0, request.QueryNumber("from", 0));
  const auto wait = std::clamp<std::int64_t>(request.QueryNumber("wait_ms", 0), 0, kMaxWaitMs);
  const std::lock_guard lock(this->mutex);
  if (from < static_cast<std::int64_t>(this->notices.size()) || wait == 0) {
    aExchange->Respond(200, this->BuildNoticePage(from));
    return;
  }
  this->noticeWaiters.emplace_back(aExchange, from);
  this->scheduler.After(std::chrono::milliseconds(wait),
                        [this, aExchange, from] { this->CompleteNoticePoll(aExchange, from); });
}

void
CloudStandIn::CompleteNoticePoll(const Exchange& aExchange, std::int64_t aFrom)
{
  const std::lock_guard lock(this->mutex);
  aExchange->Respond(200, this->BuildNoticePage(aFrom));
  this->noticeWaiters.erase(
    std::remove_if(this->noticeWaiters.begin(), this->noticeWaiters.end(),
                   [&](const auto& aWaiter) { return aWaiter.first == aExchange; }),
    this->noticeWaiters.end());
}

std::string
CloudStandIn::BuildNoticePage(std::int64_t aFrom) const
{
  json list = json::array();
  for (auto index = static_cast<std::size_t>(aFrom); index < this->notices.size(); ++index) {
    const auto& notice = this->notices[index];
    list.push_back({ { "host", notice.host },
                     { "failure_domain", notice.failureDomain },
                     { "at_ms", notice.atMs },
                     { "grace_ms", notice.graceMs } });
  }
  return json{ { "start", 0 }, { "end", this->notices.size() }, { "notices", list } }.dump();
}

void
CloudStandIn::PublishNotice(const Notice& aNotice)
{
  const std::lock_guard lock(this->mutex);
  this->notices.push_back(aNotice);
  for (const auto& [exchange, from] : this->noticeWaiters) {
    exchange->Respond(200, this->BuildNoticePage(from));
  }
  this->noticeWaiters.clear();
}

void
CloudStandIn::Reclaim(const Exchange& aExchange)
{
  const auto body = json::parse(aExchange->Request().body);
  const auto host = body.value("host", std::string());
  const auto domain = body.value("failure_domain", std::string());
  const std::chrono::milliseconds grace(body.at("grace_ms").get<std::int64_t>());
  json reclaimedIds = json::array();
  Notice notice{ host, domain, ToUnixMilliseconds(std::chrono::system_clock::now()),
                 grace.count() };
  {
    const std::lock_guard lock(this->mutex);
    for (auto& [id, entry] : this->hosts) {
      const bool matches = host.empty() ? entry.host.failureDomain == domain : id == host;
      if (!matches || entry.removedAt || entry.host.kind == "daemon") {
        continue;
      }
      if (notice.failureDomain.empty()) {
        notice.failureDomain = entry.host.failureDomain;
      }
      entry.leavingSince = entry.leavingSince.value_or(SteadyClock::now());
      ++this->reclaimed;
      reclaimedIds.push_back(id);
      this->scheduler.After(grace, [this, removed = id] { this->Remove(removed); });
    }
  }
  if (reclaimedIds.empty()) {
    aExchange->Respond(404, ErrorBody("unknown_host", "No running host matches the reclaim."));
    return;
  }
  this->scheduler.After(this->settings.noticeDelay,
                        [this, notice] { this->PublishNotice(notice); });
  aExchange->Respond(200, json{ { "hosts", reclaimedIds } }.dump());
}

void
CloudStandIn::RegisterExternal(const Exchange& aExchange)
{
  const auto body = json::parse(aExchange->Request().body);
  CloudHost host;
  host.id = body.at("id").get<std::string>();
  host.kind = body.at("kind").get<std::string>();
  host.address = body.at("address").get<std::string>();
  host.port = body.at("port").get<std::uint16_t>();
  host.failureDomain = body.at("failure_domain").get<std::string>();
  host.region = body.value("region", this->settings.region);
  host.machineClass = body.value("machine_class", std::string());
  host.name = body.value("name", std::string());
  host.reclaimable = body.value("reclaimable", true);
  this->Register(host);
  aExchange->Respond(200, json{ { "id", host.id } }.dump());
}

void
CloudStandIn::RemoveExternal(const Exchange& aExchange, const std::string& aId)
{
  this->Stop(aExchange, aId);
}

void
CloudStandIn::Describe(const Exchange& aExchange)
{
  aExchange->Respond(200, this->callbacks.describe ? this->callbacks.describe() : "{}");
}

std::string
CloudStandIn::Stats()
{
  const std::lock_guard lock(this->mutex);
  const auto now = SteadyClock::now();
  double cost = 0;
  for (const auto& [id, entry] : this->hosts) {
    if (entry.runningSince) {
      const std::chrono::duration<double, std::ratio<3600>> hours =
        entry.removedAt.value_or(now) - *entry.runningSince;
      cost += hours.count() * this->PriceOf(entry.host);
    }
  }
  return json{
    { "cost", cost },
    { "hosts_started", this->started },
    { "starts_refused", this->refusedStarts },
    { "hosts_reclaimed", this->reclaimed }
  }.dump();
}

} // namespace lagoonward::standins
