#pragma once

#include "StandIns/Faults.h"
#include "StandIns/Platform/CloudStandIn.h"
#include "StandIns/Platform/LogStandIn.h"
#include "StandIns/Platform/RateLimit.h"

namespace lagoonward::standins {

/// What the weight store is like.
struct WeightStoreSettings
{
  double readsPerSecond = 4;                 ///< More is answered 429.
  std::chrono::milliseconds readTime{ 300 }; ///< Length of one read.
  std::size_t bytes = 4096;                  ///< Size of what is sent in place of weights.
};

/// What the platform is like.
struct PlatformSettings
{
  LogSettings log;
  CloudSettings cloud;
  WeightStoreSettings weights;
};

/// The platform on one port: log, cloud, host list and weight store; docs/INTERFACES.md has the
/// formats. A fault's `path` tells which of them it strikes.
class PlatformStandIn
{
public:
  PlatformStandIn(const PlatformSettings& aSettings, const ListenAddress& aListen,
                  Scheduler& aScheduler, CloudStandIn::Machinery aMachinery);
  ~PlatformStandIn();

  [[nodiscard]] const ListenAddress& Address() const { return this->server.Address(); }
  [[nodiscard]] CloudStandIn& Cloud() { return this->cloud; }

  /// Stops answering. Before the scheduler ends.
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
