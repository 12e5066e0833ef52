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

/// One host as the cloud and the host list know it.
struct CloudHost
{
  std::string id;
  std::string kind; ///< `daemon`, `engine` or `service`.
  std::string address;
  std::uint16_t port = 0; ///< Zero until it has started.
  std::string failureDomain;
  std::string region;
  std::string machineClass;
  std::string name; ///< A service's name.
  bool reclaimable = true;
};

/// What the cloud and the host list are like.
struct CloudSettings
{
  std::string region = "Vestland";
  std::chrono::milliseconds hostListLag{ 2000 }; ///< Age of the host list.
  std::chrono::milliseconds startTime{ 1500 };   ///< From `POST /hosts` to a host that listens.
  std::chrono::milliseconds noticeDelay{ 0 };    ///< From a reclaim to its notice.
  std::vector<std::string> failureDomains{ "bergen-a", "bergen-b", "fana", "askoy" };
  std::vector<std::string> machineClasses{ "accelerator-1", "accelerator-2" };
};

/// The platform's cloud interface and its lagging host list. Safe from any thread.
class CloudStandIn
{
public:
  using Exchange = Faults::Exchange;

  /// What really starts and removes hosts; both run on the scheduler's thread.
  struct Machinery
  {
    /// Starts the host and fills in its address and port. False: it could not.
    std::function<bool(CloudHost&)> start;
    /// The host is gone from now on.
    std::function<void(const CloudHost&)> remove;
    /// `GET /fleet`: what runs and what it has done, as JSON text. Runs on the server's thread.
    std::function<std::string()> describe;
  };

  CloudStandIn(const CloudSettings& aSettings, Scheduler& aScheduler, Machinery aMachinery);

  /// Puts a host on the list that runs already.
  void Register(const CloudHost& aHost);

  /// `POST /hosts`: starts a host; the same `client_token` never a second one.
  void Start(const Exchange& aExchange, bool aRefuse);

  /// `DELETE /hosts/{id}`.
  void Stop(const Exchange& aExchange, const std::string& aId);

  /// `GET /hosts`, as it was a while ago.
  void List(const Exchange& aExchange);

  /// `GET /prices`.
  void Prices(const Exchange& aExchange);

  /// `GET /notices?from=N&wait_ms=T`.
  void Notices(const Exchange& aExchange);

  /// `POST /reclaim {failure_domain|host, grace_ms}`: gives notice, and takes the hosts away when the
  /// grace is over.
  void Reclaim(const Exchange& aExchange);

  /// `POST /prices`: replaces the price list.
  void SetPrices(const Exchange& aExchange);

  /// `POST /control/hosts`, `DELETE /control/hosts/{id}`: hosts that somebody else runs.
  void RegisterByHand(const Exchange& aExchange);
  void RemoveByHand(const Exchange& aExchange, const std::string& aId);

  /// `GET /fleet`.
  void Describe(const Exchange& aExchange);

  /// Sum over all hosts of price and running time, and how many were started or reclaimed.
  [[nodiscard]] std::string Stats();

private:
  using Time = std::chrono::steady_clock::time_point;

  struct Entry
  {
    CloudHost host;
    std::optional<Time> running; ///< When it began to listen.
    std::optional<Time> leaving; ///< When its end was announced.
    std::optional<Time> gone;
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
  void GiveNotice(const Notice& aNotice);
  void AnswerNotices(const Exchange& aExchange, std::int64_t aFrom);
  [[nodiscard]] std::string NoticePage(std::int64_t aFrom) const;
  [[nodiscard]] double PriceOf(const CloudHost& aHost) const;

  const CloudSettings settings;
  Scheduler& scheduler;
  Machinery machinery;
  std::mutex mutex;
  std::map<std::string, Entry> hosts;
  std::map<std::string, std::string> tokens; ///< Client token to host id.
  std::vector<Price> prices;
  std::vector<Notice> notices;
  std::vector<std::pair<Exchange, std::int64_t>> noticeWaiters; ///< With their `from`.
  std::int64_t nextHost = 0;
  std::int64_t started = 0;
  std::int64_t refusedStarts = 0;
  std::int64_t reclaimed = 0;
};

} // namespace lagoonward::standins
