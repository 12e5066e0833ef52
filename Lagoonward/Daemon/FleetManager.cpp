#include "Lagoonward/Daemon/FleetManager.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// Interval at which a drain checks whether the leases have been resigned.
constexpr Milliseconds kResignCheck{ 50 };

} // namespace

FleetManager::Worker::Worker(const FleetManager& aManager, const std::string& aMarket)
  : market(aMarket)
  , rankKey(LeaseStreamName(aMarket, aManager.identity.region))
  , log(aManager.identity.logUrl, aManager.settings.platform)
  , lease(aManager.settings, aMarket, aManager.identity.region, aManager.identity.daemonId,
          aManager.identity.incarnation, this->log, aManager.clock)
{
}

FleetManager::FleetManager(const FleetManagerSettings& aSettings, FleetManagerIdentity aIdentity,
                           FleetManagerHooks aHooks, const Clock& aClock)
  : settings(aSettings)
  , identity(std::move(aIdentity))
  , hooks(std::move(aHooks))
  , clock(aClock)
  , cloud(this->identity.cloudUrl, aSettings.platform)
  , weights(this->identity.weightStoreUrl, aSettings.platform)
  , engines(aSettings.platform)
{
}

FleetManager::~FleetManager()
{
  this->Stop();
}

Result<void>
FleetManager::Start()
{
  this->watcher = std::jthread([this](const std::stop_token& aStop) { this->WatchMarkets(aStop); });
  return boost::outcome_v2::success();
}

void
FleetManager::WatchMarkets(const std::stop_token& aStop)
{
  while (!aStop.stop_requested()) {
    for (const ConfigurationPtr& configuration : this->hooks.configurations()) {
      if (configuration->manifest.region == this->identity.region) {
        this->StartWorker(configuration->market);
      }
    }
    this->Sleep(aStop, this->settings.marketInterval);
  }
}

/// Starts the threads of a market, unless they are running.
void
FleetManager::StartWorker(const std::string& aMarket)
{
  const std::lock_guard lock(this->mutex);
  if (this->resigned || this->workers.contains(aMarket)) {
    return;
  }
  auto worker = std::make_unique<Worker>(*this, aMarket);
  Worker& started = *worker;
  this->workers.emplace(aMarket, std::move(worker));
  started.leaseThread = std::jthread(
    [this, &started](const std::stop_token& aStop) { this->FollowLease(aStop, started); });
  started.orderThread = std::jthread(
    [this, &started](const std::stop_token& aStop) { this->SendOrders(aStop, started); });
}

void
FleetManager::FollowLease(const std::stop_token& aStop, Worker& aWorker)
{
  while (!aStop.stop_requested()) {
    this->Sleep(aStop, aWorker.lease.Step(this->hooks.rank(aWorker.rankKey)));
  }
}

void
FleetManager::SendOrders(const std::stop_token& aStop, Worker& aWorker)
{
  MarketLeader leader(this->settings, aWorker.market, this->identity.region, aWorker.lease,
                      { this->engines, this->cloud, this->weights }, this->clock);
  while (!aStop.stop_requested()) {
    if (const auto state = this->CollectState(aWorker.market)) {
      leader.Step(*state);
    }
    this->Sleep(aStop, this->settings.roundInterval);
  }
}

std::optional<MarketState>
FleetManager::CollectState(const std::string& aMarket) const
{
  MarketState state;
  state.fleet = this->hooks.fleet();
  for (ConfigurationPtr& configuration : this->hooks.configurations()) {
    if (configuration->market == aMarket) {
      state.configuration = std::move(configuration);
    } else if (configuration->manifest.region == this->identity.region) {
      state.others.push_back(std::move(configuration));
    }
  }
  const bool isComplete = state.fleet != nullptr && state.configuration != nullptr;
  return isComplete ? std::optional(std::move(state)) : std::nullopt;
}

void
FleetManager::Sleep(const std::stop_token& aStop, Milliseconds aSpan)
{
  if (aSpan > Milliseconds::zero()) {
    std::unique_lock lock(this->sleepMutex);
    this->sleeping.wait_for(lock, aStop, aSpan, [] { return false; });
  }
}

void
FleetManager::Resign()
{
  const std::lock_guard lock(this->mutex);
  this->resigned = true;
  for (const auto& [market, worker] : this->workers) {
    worker->lease.Resign();
  }
}

void
FleetManager::Drain()
{
  this->Resign();
  const TimePoint end = this->clock.Now() + this->settings.resignTimeout;
  const auto leads = [this](const LeaseStatus& aLease) {
    return aLease.holder == this->identity.daemonId;
  };
  while (this->clock.Now() < end) {
    const auto leases = this->Leases();
    if (std::none_of(leases.begin(), leases.end(), leads)) {
      return;
    }
    std::this_thread::sleep_for(kResignCheck);
  }
}

void
FleetManager::Stop()
{
  // The watcher ends first, so that no market is added afterwards
  this->watcher.request_stop();
  if (this->watcher.joinable()) {
    this->watcher.join();
  }
  std::map<std::string, std::unique_ptr<Worker>, std::less<>> stopped;
  {
    const std::lock_guard lock(this->mutex);
    this->resigned = true;
    stopped.swap(this->workers);
  }
  this->cloud.Interrupt();
  this->weights.Interrupt();
  this->engines.Interrupt();
  for (const auto& [market, worker] : stopped) {
    worker->leaseThread.request_stop();
    worker->orderThread.request_stop();
    worker->log.Interrupt();
  }
  // Joins the threads
  stopped.clear();
}

std::vector<LeaseStatus>
FleetManager::Leases() const
{
  const std::lock_guard lock(this->mutex);
  std::vector<LeaseStatus> leases;
  for (const auto& [market, worker] : this->workers) {
    leases.push_back(worker->lease.Status());
  }
  return leases;
}

} // namespace lagoonward
