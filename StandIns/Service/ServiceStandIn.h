#pragma once

#include "StandIns/Faults.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace lagoonward::standins {

/// Settings of one plain service.
struct ServiceSettings
{
  std::string id = "service-1";
  std::string name = "permits";
  std::string failureDomain = "here";
  std::chrono::milliseconds workTime{ 20 }; ///< From the request until its execution and response.
};

/// Simulated plain service: every `POST /PATH` is executed once, and the response's `result` depends only
/// on name, path and body. Executions are counted, so that tests can detect duplicates.
class ServiceStandIn
{
public:
  ServiceStandIn(ServiceSettings aSettings, const ListenAddress& aListen, Scheduler& aScheduler);
  ~ServiceStandIn();

  [[nodiscard]] const ListenAddress& Address() const { return this->server.Address(); }
  [[nodiscard]] const ServiceSettings& Settings() const { return this->settings; }

  /// Simulates the loss of the host: stops the server and executes nothing any more. Must not be called from
  /// a handler.
  void Terminate();

  /// Number of executions of each call, by ExecutionKey() of its body and by its `Idempotency-Key`.
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
  bool terminated = false; ///< No further calls are executed.
  HttpServer server;
};

} // namespace lagoonward::standins
