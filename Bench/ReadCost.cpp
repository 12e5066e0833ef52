#include "Bench/ReadCost.h"

#include "Bench/SyntheticLoads.h"
#include "Bench/ThreadTime.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Providers/HttpHostListService.h"
#include "Lagoonward/Providers/LoadPoller.h"
#include "Lagoonward/Wire/HttpServer.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lagoonward::bench {

namespace {

std::string
LoadReply()
{
  const SystemClock clock;
  const EndpointLoad sample = SyntheticLoads(clock, {}).Read("engine");
  nlohmann::json models = nlohmann::json::array();
  for (const LoadedModel& model : sample.models) {
    nlohmann::json adapters = nlohmann::json::array();
    for (const LoadedAdapter& adapter : model.adapters) {
      adapters.push_back({ { "name", adapter.name }, { "version", adapter.version } });
    }
    models.push_back(
      { { "name", model.name }, { "version", model.version }, { "adapters", adapters } });
  }
  return nlohmann::json{
    { "waiting", sample.waiting },
    { "running", sample.running },
    { "kv_blocks_used", sample.kvBlocksUsed },
    { "kv_blocks_total", sample.kvBlocksTotal },
    { "role", sample.role },
    { "as_of_ms", ToUnixMilliseconds(sample.asOf) },
    { "models", models }
  }.dump();
}

std::string
HostListReply(std::size_t aHosts)
{
  nlohmann::json hosts = nlohmann::json::array();
  for (std::size_t index = 0; index < aHosts; ++index) {
    hosts.push_back({ { "id", fmt::format("engine-{:04}", index) },
                      { "kind", "engine" },
                      { "address", "10.20.30.40" },
                      { "port", 8000 },
                      { "failure_domain", "bergen-a" },
                      { "region", "vestland" },
                      { "machine_class", "accel-8" },
                      { "name", "" },
                      { "state", "live" } });
  }
  return hosts.dump();
}

/// Serves aBody on loopback and measures the processor time of reads on the calling thread.
template<typename Read>
Result<ReadCost>
Measure(const std::string& aBody, std::size_t aRounds, Read aRead)
{
  HttpServer server({}, [&](const HttpRequest&, const HttpExchangePtr& aExchange) {
    aExchange->Respond(200, { { "Content-Type", "application/json" } }, aBody);
  });
  auto started = server.Start();
  if (!started) {
    return started.error();
  }
  const auto read = aRead(fmt::format("http://127.0.0.1:{}", server.Port()));
  // The first read opens the connection and is not measured
  Result<void> outcome = read();
  const double before = ThreadSeconds();
  for (std::size_t round = 0; round < aRounds && outcome; ++round) {
    outcome = read();
  }
  const double seconds = ThreadSeconds() - before;
  if (!outcome) {
    return outcome.error();
  }
  return ReadCost{ static_cast<double>(aBody.size()), seconds / static_cast<double>(aRounds) };
}

} // namespace

Result<ReadCost>
MeasureLoadRead(std::size_t aRounds)
{
  return Measure(LoadReply(), aRounds, [](const std::string& aUrl) {
    auto client = std::make_shared<PlatformHttpClient>(aUrl, PlatformSettings());
    return [client]() -> Result<void> {
      PlatformCall call;
      call.path = "/v1/load";
      auto answer = client->Call(call);
      if (!answer) {
        return answer.error();
      }
      const auto load = LoadPoller::Decode(answer.value().body);
      if (!load) {
        return load.error();
      }
      return boost::outcome_v2::success();
    };
  });
}

Result<ReadCost>
MeasureHostListRead(std::size_t aHosts, std::size_t aRounds)
{
  return Measure(HostListReply(aHosts), aRounds, [aHosts](const std::string& aUrl) {
    auto service = std::make_shared<HttpHostListService>(aUrl, PlatformSettings());
    return [service, aHosts]() -> Result<void> {
      const auto hosts = service->Hosts();
      if (!hosts) {
        return hosts.error();
      }
      if (hosts.value().size() != aHosts) {
        return Error(ErrorKind::Internal,
                     "the host list response does not have the expected number of hosts");
      }
      return boost::outcome_v2::success();
    };
  });
}

} // namespace lagoonward::bench
