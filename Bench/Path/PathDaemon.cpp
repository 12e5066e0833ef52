#include "Bench/Path/PathDaemon.h"

#include "Bench/Path/ProcessUsage.h"
#include "Lagoonward/Settings/DaemonSettings.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <array>

namespace lagoonward::bench {

namespace {

const std::string kMarket = "path";
const std::string kDomain = "bergen-a";
constexpr Milliseconds kDeadline{ 24 * 3'600'000 }; ///< Longer than any stream of the bench.
constexpr Milliseconds kFirstToken{ 10'000 };
constexpr Milliseconds kBetweenTokens{ 1000 };

std::string
HashKey(std::string_view aKey)
{
  std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
  crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char*>(aKey.data()),
                     aKey.size());
  std::array<char, crypto_hash_sha256_BYTES * 2 + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  return hex.data();
}

ConfigurationPtr
MakeConfiguration()
{
  auto configuration = std::make_shared<Configuration>();
  configuration->market = kMarket;
  configuration->offset = 0;
  Manifest& manifest = configuration->manifest;
  manifest.market = kMarket;
  manifest.failureDomains = { kDomain };
  manifest.models = { { std::string(PathDaemon::kModel), std::string(PathDaemon::kVersion) } };
  manifest.services = { { std::string(PathDaemon::kService), true } };
  manifest.classes = { { "draft", kFirstToken, kBetweenTokens, kDeadline, 0 } };
  manifest.clients = { { "bench", HashKey(PathDaemon::kClientKey) } };
  return configuration;
}

Endpoint
MakeEndpoint(std::string aId, std::uint16_t aPort, EndpointKind aKind)
{
  Endpoint endpoint;
  endpoint.id = std::move(aId);
  endpoint.kind = aKind;
  endpoint.address = "127.0.0.1";
  endpoint.port = aPort;
  endpoint.failureDomain = kDomain;
  endpoint.machineClass = "accelerator-1";
  return endpoint;
}

} // namespace

PathDaemon::PathDaemon(std::uint16_t aEnginePort, int aEngineCount)
  : markets({}, this->clock, 1)
{
  const DaemonSettings settings;
  ClaimServiceHooks hooks;
  hooks.daemonId = "d1";
  hooks.incarnation = "d1@0";
  hooks.liveDaemons = [] { return std::vector<std::string>{ "d1" }; };
  this->claims =
    std::make_unique<ClaimService>(ClaimSettings{}, std::move(hooks), this->log, this->clock);
  this->runs = std::make_unique<RunService>(settings.runs, this->clock, this->fleet);
  this->runs->SetClaims(*this->claims);
  HttpServerSettings server;
  server.threads = settings.callerThreads;
  server.maximumConnections = settings.maximumConnections;
  server.limits.maximumBodyBytes = settings.maximumBodyBytes;
  this->callers =
    std::make_unique<CallerApi>(server, nullptr, settings.calls, Milliseconds(0), this->clock,
                                this->markets, *this->runs, [](const std::string&) {});
  this->Configure(aEnginePort, aEngineCount);
}

PathDaemon::~PathDaemon()
{
  this->callers->Drain();
  this->runs->Drain();
  this->callers->Stop();
  this->runs->Stop();
  this->claims->Stop();
}

Result<void>
PathDaemon::Start()
{
  const std::set<std::string> before = ListThreads();
  for (Service* service : std::initializer_list<Service*>{ this->claims.get(), this->runs.get(),
                                                           this->callers.get() }) {
    auto started = service->Start();
    if (!started) {
      return started;
    }
  }
  const std::set<std::string> after = ListThreads();
  std::set_difference(after.begin(), after.end(), before.begin(), before.end(),
                      std::inserter(this->threads, this->threads.end()));
  return boost::outcome_v2::success();
}

double
PathDaemon::ProcessorSeconds() const
{
  return bench::ProcessorSeconds(this->threads);
}

void
PathDaemon::Configure(std::uint16_t aEnginePort, int aEngineCount)
{
  auto snapshot = std::make_shared<FleetSnapshot>();
  snapshot->generation = 1;
  for (int index = 0; index < aEngineCount; ++index) {
    Endpoint engine =
      MakeEndpoint(fmt::format("engine-{}", index), aEnginePort, EndpointKind::Engine);
    EndpointLoad load;
    load.models = { { std::string(kModel), std::string(kVersion), {} } };
    load.asOf = this->clock.WallNow();
    engine.load = std::move(load);
    snapshot->endpoints.push_back(std::move(engine));
  }
  snapshot->endpoints.push_back(MakeEndpoint("service-0", aEnginePort, EndpointKind::Service));
  snapshot->endpoints.back().name = kService;
  const MarketPtr market = this->markets.FindOrAdd(kMarket);
  market->ApplyConfiguration(MakeConfiguration());
  market->ApplyFleet(*snapshot);
  this->fleet.Publish(std::move(snapshot));
}

} // namespace lagoonward::bench
