#pragma once

#include "StandIns/Faults.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace lagoonward::standins {

/// What one plain service is like.
struct ServiceSettings
{
  std::string id = "service-1";
  std::string name = "permits";
  std::string failureDomain = "here";
  std::chrono::milliseconds workTime{ 20 }; ///< From the request to its execution and answer.
};

/// One plain service: `POST /PATH` executes once per call, and the answer's `result` follows from
/// name, path and body alone. It keeps count, so that a test sees what ran twice.
class ServiceStandIn
{
public:
  ServiceStandIn(ServiceSettings aSettings, const ListenAddress& aListen, Scheduler& aScheduler);
  ~ServiceStandIn();

  [[nodiscard]] const ListenAddress& Address() const { return this->server.Address(); }
  [[nodiscard]] const ServiceSettings& Settings() const { return this->settings; }

  /// The host is gone. Not from a handler.
  void Vanish();

  /// How often each call ran: under ExecutionKey() of its body, and under its `Idempotency-Key`.
  [[nodiscard]] std::map<std::string, std::int64_t> Executions();

private:
  using Exchange = Faults::Exchange;

  void Route(const Exchange& aExchange);
  void Execute(const Exchange& aExchange);

  const ServiceSettings settings;
  Scheduler& scheduler;
  Faults faults;
  std::mutex mutex;
  std::map<std::string, std::int64_t> executions;
  bool vanished = false; ///< Nothing executes any more.
  HttpServer server;
};

} // namespace lagoonward::standins
