#pragma once

#include "Lagoonward/Core/Service.h"
#include "Lagoonward/Membership/HostListPollInterval.h"
#include "Lagoonward/Providers/HttpCloudService.h"
#include "Lagoonward/Providers/HttpHostListService.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

namespace lagoonward {

/// Tunables of the PlatformWatcher.
struct PlatformWatcherSettings
{
  HostListSettings hostList;
  Milliseconds priceInterval{ 10'000 };
  Milliseconds noticePollTimeout{ 5000 }; ///< Of one long poll for notices.
  Milliseconds retryPause{ 500 };         ///< After a failure; doubles up to retryPauseLimit.
  Milliseconds retryPauseLimit{ 10'000 };
  PlatformSettings platform;
};

/// Callbacks for data from the platform. Called on the watcher's threads.
struct PlatformCallbacks
{
  std::function<bool()> readsHostList; ///< Whether this daemon reads the host list for its region.
  std::function<void(std::vector<HostEntry>)> onHosts;
  std::function<void(std::vector<Price>)> onPrices;
  std::function<void(const std::vector<ReclaimNotice>&)> onNotices;
};

/// Reads the host list, the prices and the reclaim notices, each on a thread of its own, as their calls block. During
/// an outage of the platform no callback is called, so the last data stays in use.
class PlatformWatcher final : public Service
{
public:
  static constexpr std::string_view kName = "platform";

  PlatformWatcher(const PlatformWatcherSettings& aSettings, const Clock& aClock,
                  const std::string& aHostListUrl, const std::string& aCloudUrl,
                  PlatformCallbacks aFeed);
  ~PlatformWatcher() override;

  [[nodiscard]] std::string_view Name() const override;
  [[nodiscard]] Result<void> Start() override;
  void Stop() override;

  /// Whether the host list has been read at least once.
  [[nodiscard]] bool HasHosts() const { return this->hasHosts; }

private:
  /// Repeats a step until a stop is requested. The step returns whether the platform answered.
  void Repeat(const std::stop_token& aStop, std::string_view aWhat, Milliseconds aInterval,
              const std::function<bool()>& aStep);
  [[nodiscard]] bool ReadHosts();
  [[nodiscard]] bool ReadPrices();
  [[nodiscard]] bool ReadNotices();

  PlatformWatcherSettings settings;
  const Clock& clock;
  HttpHostListService hostList;
  HttpCloudService cloud;
  PlatformCallbacks feed;
  Offset nextNotice = 0;                     ///< Notices thread only.
  HostListPollInterval hostListPollInterval; ///< Host list thread only.
  std::atomic<bool> hasHosts{ false };
  std::mutex sleepMutex;
  std::condition_variable_any sleeping;
  std::vector<std::jthread> threads;
};

} // namespace lagoonward
