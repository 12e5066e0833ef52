#pragma once

#include "StandIns/Faults.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// A host of the cloud and of the host list.
struct CloudHost
{
  std::string id;
  std::string kind; ///< `daemon`, `engine` or `service`.
  std::string address;
  std::uint16_t port = 0; ///< Zero until the host has started.
  std::string failureDomain;
  std::string region;
  std::string machineClass;
  std::string name; ///< Service name, for services.
  bool reclaimable = true;
};

/// Settings of the cloud and the host list.
struct CloudSettings
{
  std::string region = "Vestland";
  std::chrono::milliseconds hostListLag{ 2000 }; ///< Delay with which the host list shows changes.
  std::chrono::milliseconds startTime{ 1500 };   ///< From `POST /hosts` until the host listens.
  std::chrono::milliseconds noticeDelay{ 0 };    ///< From a reclaim until its notice is published.
  std::vector<std::string> failureDomains{ "bergen-a", "bergen-b", "fana", "askoy" };
  std::vector<std::string> machineClasses{ "accelerator-1", "accelerator-2" };
};

/// Simulated cloud interface and host list of the platform; the list shows changes with a delay.
/// Thread-safe.
class CloudStandIn
{
public:
  using Exchange = Faults::Exchange;

  /// Callbacks that start, remove and describe hosts; `start` and `remove` run on the scheduler's thread.
  struct HostCallbacks
  {
    /// Starts the host and sets its address and port. Returns false on failure.
    std::function<bool(CloudHost&)> start;
    /// Terminates the host.
    std::function<void(const CloudHost&)> remove;
    /// `GET /fleet`: running hosts and their counters as JSON text. Runs on the server's thread.
    std::function<std::string()> describe;
  };

  CloudStandIn(const CloudSettings& aSettings, Scheduler& aScheduler, HostCallbacks aCallbacks);

  /// Adds a host that is already running to the host list, without the list's delay.
  void Register(const CloudHost& aHost);

  /// `POST /hosts`: starts a host; requests with the same `client_token` start only one.
  void Start(const Exchange& aExchange, bool aRefuse);

  /// `DELETE /hosts/{id}`.
  void Stop(const Exchange& aExchange, const std::string& aId);

  /// `GET /hosts`: the hosts as of `hostListLag` ago.
  void List(const Exchange& aExchange);

  /// `GET /prices`.
  void Prices(const Exchange& aExchange);

  /// `GET /notices?from=N&wait_ms=T`.
  void Notices(const Exchange& aExchange);

  /// `POST /reclaim {failure_domain|host, grace_ms}`: publishes a notice and removes the hosts when the
  /// grace period has expired.
  void Reclaim(const Exchange& aExchange);

  /// `POST /prices`: replaces the price list.
  void SetPrices(const Exchange& aExchange);

  /// `POST /control/hosts`, `DELETE /control/hosts/{id}`: hosts that run outside this process.
  void RegisterExternal(const Exchange& aExchange);
  void RemoveExternal(const Exchange& aExchange, const std::string& aId);

  /// `GET /fleet`.
  void Describe(const Exchange& aExchange);

  /// JSON text with the cost (sum of price times running time over all hosts) and the numbers of hosts
  /// started, refused and reclaimed.
  [[nodiscard]] std::string Stats();

private:
  using Time = std::chrono::steady_clock::time_point;

  struct Entry
  {
    CloudHost host;
    std::optional<Time> runningSince; ///< When the host started to listen.
    std::optional<Time> leavingSince; ///< When its stop or reclaim was requested.
    std::optional<Time> removedAt;
  };

  struct Price
  {
    std::string machineClass;
    std::string failureDomain;
    bool reclaimable = true;
    double perHour = 0;
  };

  struct Notice
  {
    std::string host;
    std::string failureDomain;
    std::int64_t atMs = 0;
    std::int64_t graceMs = 0;
  };

  void FinishStart(const std::string& aId);
  void Remove(const std::string& aId);
  void PublishNotice(const Notice& aNotice);
  void CompleteNoticePoll(const Exchange& aExchange, std::int64_t aFrom);
  [[nodiscard]] std::string BuildNoticePage(std::int64_t aFrom) const;
  [[nodiscard]] double PriceOf(const CloudHost& aHost) const;

  const CloudSettings settings;
  Scheduler& scheduler;
  HostCallbacks callbacks;
  std::mutex mutex;
  std::map<std::string, Entry> hosts;
  std::map<std::string, std::string> clientTokens; ///< Host ids by client token.
  std::vector<Price> prices;
  std::vector<Notice> notices;
  /// Open long polls for notices, with their `from`.
  std::vector<std::pair<Exchange, std::int64_t>> noticeWaiters;
  std::int64_t nextHost = 0;
  std::int64_t started = 0;
  std::int64_t refusedStarts = 0;
  std::int64_t reclaimed = 0;
};

} // namespace lagoonward::standins
