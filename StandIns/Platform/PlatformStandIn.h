#pragma once

#include "StandIns/Faults.h"
#include "StandIns/Platform/CloudStandIn.h"
#include "StandIns/Platform/LogStandIn.h"
#include "StandIns/Platform/RateLimit.h"

namespace lagoonward::standins {

/// Settings of the weight store.
struct WeightStoreSettings
{
  double readsPerSecond = 4;                 ///< Further reads get status 429.
  std::chrono::milliseconds readTime{ 300 }; ///< Duration of one read.
  std::size_t bytes = 4096;                  ///< Size of the dummy data sent in place of weights.
};

/// Settings of the platform.
struct PlatformSettings
{
  LogSettings log;
  CloudSettings cloud;
  WeightStoreSettings weights;
};

/// Simulated platform on one port: log, cloud, host list and weight store; docs/INTERFACES.md specifies
/// the formats. The `path` of a fault selects which of them it affects.
class PlatformStandIn
{
public:
  PlatformStandIn(const PlatformSettings& aSettings, const ListenAddress& aListen,
                  Scheduler& aScheduler, CloudStandIn::HostCallbacks aCallbacks);
  ~PlatformStandIn();

  [[nodiscard]] const ListenAddress& Address() const { return this->server.Address(); }
  [[nodiscard]] CloudStandIn& Cloud() { return this->cloud; }

  /// Stops the server. Must be called before the scheduler is destroyed.
  void Stop();

private:
  using Exchange = Faults::Exchange;

  void Route(const Exchange& aExchange);
  [[nodiscard]] bool RouteLog(const Exchange& aExchange);
  [[nodiscard]] bool RouteCloud(const Exchange& aExchange);
  [[nodiscard]] bool RouteControl(const Exchange& aExchange);
  void AnswerWeights(const Exchange& aExchange);
  void AnswerStats(const Exchange& aExchange);

  const PlatformSettings settings;
  Scheduler& scheduler;
  Faults faults;
  LogStandIn log;
  CloudStandIn cloud;
  std::mutex mutex;
  RateLimit weightRate;
  HttpServer server;
};

} // namespace lagoonward::standins
