#include "Lagoonward/Configuration/ConfigurationFollower.h"

namespace lagoonward {

ConfigurationFollower::ConfigurationFollower(ConfigurationFollowerSettings aSettings,
                                             ConfigurationFollowerHooks aHooks,
                                             const std::vector<std::string>& aMarkets,
                                             LogService& aLog, const Clock& aClock)
  : settings(aSettings)
  , hooks(std::move(aHooks))
  , log(aLog)
  , clock(aClock)
{
  for (const std::string& market : aMarkets) {
    this->workers[market].follower =
      std::make_unique<MarketFollower>(market, this->settings, this->hooks, this->log, this->clock);
  }
}

ConfigurationFollower::~ConfigurationFollower()
{
  this->Stop();
}

Result<void>
ConfigurationFollower::Start()
{
  const std::lock_guard lock(this->mutex);
  this->started = true;
  for (auto& [market, worker] : this->workers) {
    this->Launch(worker);
  }
  return boost::outcome_v2::success();
}

void
ConfigurationFollower::Stop()
{
  std::vector<std::thread> threads;
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    for (auto& [market, worker] : this->workers) {
      threads.push_back(std::move(worker.thread));
    }
  }
  this->wake.notify_all();
  this->log.Interrupt();
  for (std::thread& thread : threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

Result<void>
ConfigurationFollower::Follow(const std::string& aMarket)
{
  const std::lock_guard lock(this->mutex);
  if (this->stopping) {
    return Error(ErrorKind::Draining, "the daemon is stopping");
  }
  if (this->workers.contains(aMarket)) {
    return boost::outcome_v2::success();
  }
  if (this->workers.size() >= this->settings.maxMarkets) {
    return Error(ErrorKind::Overloaded, "the limit of followed markets is reached");
  }
  Worker& worker = this->workers[aMarket];
  worker.follower =
    std::make_unique<MarketFollower>(aMarket, this->settings, this->hooks, this->log, this->clock);
  if (this->started) {
    this->Launch(worker);
  }
  return boost::outcome_v2::success();
}

ConfigurationPtr
ConfigurationFollower::Current(std::string_view aMarket) const
{
  const MarketFollower* follower = this->Find(aMarket);
  return follower == nullptr ? nullptr : follower->Current();
}

ConfigurationOffer
ConfigurationFollower::Offer(std::string_view aMarket) const
{
  const MarketFollower* follower = this->Find(aMarket);
  return follower == nullptr ? ConfigurationOffer() : follower->Offer();
}

void
ConfigurationFollower::Adopt(std::string_view aMarket, const ConfigurationOffer& aOffer)
{
  if (MarketFollower* follower = this->Find(aMarket)) {
    follower->Adopt(aOffer);
  }
}

std::vector<MarketStatus>
ConfigurationFollower::Status() const
{
  const std::lock_guard lock(this->mutex);
  std::vector<MarketStatus> statuses;
  for (const auto& [market, worker] : this->workers) {
    statuses.push_back(worker.follower->Status());
  }
  return statuses;
}

void
ConfigurationFollower::Launch(Worker& aWorker)
{
  MarketFollower& follower = *aWorker.follower;
  aWorker.thread = std::thread([this, &follower] { this->Run(follower); });
}

void
ConfigurationFollower::Run(MarketFollower& aFollower)
{
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    lock.unlock();
    const Milliseconds pause = aFollower.Step();
    lock.lock();
    this->wake.wait_for(lock, pause, [this] { return this->stopping; });
  }
}

MarketFollower*
ConfigurationFollower::Find(std::string_view aMarket) const
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->workers.find(aMarket);
  return found == this->workers.end() ? nullptr : found->second.follower.get();
}

} // namespace lagoonward
