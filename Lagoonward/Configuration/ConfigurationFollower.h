#pragma once

#include "Lagoonward/Configuration/MarketFollower.h"
#include "Lagoonward/Core/Service.h"

#include <condition_variable>
#include <map>
#include <thread>

namespace lagoonward {

/// Keeps the configuration of each followed market up to date. Uses one thread per market because each
/// thread blocks in a long poll. During an outage of the log the last configuration stays in force. All
/// functions are safe from any thread.
class ConfigurationFollower final : public Service
{
public:
  static constexpr std::string_view kName = "configuration-follower";

  /// @param aLog  interrupted by Stop(); must not be shared with services that stop later
  ConfigurationFollower(ConfigurationFollowerSettings aSettings, ConfigurationFollowerHooks aHooks,
                        const std::vector<std::string>& aMarkets, LogService& aLog,
                        const Clock& aClock);
  ~ConfigurationFollower() override;

  [[nodiscard]] std::string_view Name() const override { return kName; }
  [[nodiscard]] Result<void> Start() override;
  void Stop() override;

  /// Starts to follow a market, unless it is followed already.
  /// @return Overloaded if `maxMarkets` markets are followed, Draining after Stop()
  [[nodiscard]] Result<void> Follow(const std::string& aMarket);

  /// The configuration in force in a market, or nullptr.
  [[nodiscard]] ConfigurationPtr Current(std::string_view aMarket) const;

  /// The state to send to a peer that requests it.
  [[nodiscard]] ConfigurationOffer Offer(std::string_view aMarket) const;

  /// Adopts a peer's configuration if it is newer. Ignored for markets that are not followed.
  void Adopt(std::string_view aMarket, const ConfigurationOffer& aOffer);

  [[nodiscard]] std::vector<MarketStatus> Status() const;

private:
  struct Worker
  {
    std::unique_ptr<MarketFollower> follower;
    std::thread thread;
  };

  void Launch(Worker& aWorker);
  void Run(MarketFollower& aFollower);
  [[nodiscard]] MarketFollower* Find(std::string_view aMarket) const;

  const ConfigurationFollowerSettings settings;
  const ConfigurationFollowerHooks hooks;
  LogService& log;
  const Clock& clock;

  mutable std::mutex mutex; ///< Guards everything below; followers are never removed.
  std::condition_variable wake;
  std::map<std::string, Worker, std::less<>> workers;
  bool started = false;
  bool stopping = false;
};

} // namespace lagoonward
