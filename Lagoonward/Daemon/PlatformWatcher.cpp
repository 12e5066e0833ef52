#include "Lagoonward/Daemon/PlatformWatcher.h"

#include "Lagoonward/Core/Log.h"

#include <algorithm>

namespace lagoonward {

namespace {

const Log kLog("platform");

} // namespace

PlatformWatcher::PlatformWatcher(const PlatformWatcherSettings& aSettings, const Clock& aClock,
                                 const std::string& aHostListUrl, const std::string& aCloudUrl,
                                 PlatformCallbacks aFeed)
  : settings(aSettings)
  , clock(aClock)
  , hostList(aHostListUrl, aSettings.platform)
  , cloud(aCloudUrl, aSettings.platform)
  , feed(std::move(aFeed))
  , hostListPollInterval(aSettings.hostList)
{
}

PlatformWatcher::~PlatformWatcher()
{
  this->Stop();
}

std::string_view
PlatformWatcher::Name() const
{
  return kName;
}

Result<void>
PlatformWatcher::Start()
{
  const auto launch = [this](std::string_view aWhat, Milliseconds aInterval, auto aStep) {
    this->threads.emplace_back([this, aWhat, aInterval, aStep](const std::stop_token& aStop) {
      this->Repeat(aStop, aWhat, aInterval, aStep);
    });
  };
  launch("host list", this->settings.hostList.interval, [this] { return this->ReadHosts(); });
  launch("prices", this->settings.priceInterval, [this] { return this->ReadPrices(); });
  launch("notices", Milliseconds(0), [this] { return this->ReadNotices(); });
  return boost::outcome_v2::success();
}

void
PlatformWatcher::Stop()
{
  for (std::jthread& thread : this->threads) {
    thread.request_stop();
  }
  this->hostList.Interrupt();
  this->cloud.Interrupt();
  this->threads.clear();
}

void
PlatformWatcher::Repeat(const std::stop_token& aStop, std::string_view aWhat,
                        Milliseconds aInterval, const std::function<bool()>& aStep)
{
  Milliseconds pause{ 0 };
  while (!aStop.stop_requested()) {
    const bool answered = aStep();
    if (aStop.stop_requested()) {
      return;
    }
    if (answered != (pause == Milliseconds(0))) {
      kLog.Warning("The platform {} (request: {}).", answered ? "answers again" : "does not answer",
                   aWhat);
    }
    pause = answered
              ? Milliseconds(0)
              : std::clamp(pause * 2, this->settings.retryPause, this->settings.retryPauseLimit);
    std::unique_lock lock(this->sleepMutex);
    this->sleeping.wait_for(lock, aStop, answered ? aInterval : pause, [] { return false; });
  }
}

bool
PlatformWatcher::ReadHosts()
{
  if (!this->hostListPollInterval.IsDue(this->clock.Now(), this->feed.readsHostList())) {
    return true;
  }
  auto hosts = this->hostList.Hosts();
  if (!hosts) {
    return false;
  }
  this->hostListPollInterval.OnRead(this->clock.Now(), hosts.value().size());
  this->feed.onHosts(std::move(hosts.value()));
  this->hasHosts = true;
  return true;
}

bool
PlatformWatcher::ReadPrices()
{
  auto prices = this->cloud.Prices();
  if (!prices) {
    return false;
  }
  this->feed.onPrices(std::move(prices.value()));
  return true;
}

bool
PlatformWatcher::ReadNotices()
{
  auto page = this->cloud.Notices(this->nextNotice, this->settings.noticePollTimeout);
  if (!page) {
    return false;
  }
  this->nextNotice = std::max(this->nextNotice, page.value().end);
  if (!page.value().notices.empty()) {
    this->feed.onNotices(page.value().notices);
  }
  return true;
}

} // namespace lagoonward
