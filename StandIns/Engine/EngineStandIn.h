#pragma once

#include "StandIns/Engine/EngineCore.h"
#include "StandIns/Engine/EngineModels.h"
#include "StandIns/Faults.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// Simulated model engine with its HTTP interface; docs/INTERFACES.md specifies the formats.
class EngineStandIn
{
public:
  /// Starts listening. Several engines may share the scheduler and the ledger.
  EngineStandIn(EngineSettings aSettings, const ListenAddress& aListen, Scheduler& aScheduler,
                ComputeLedger& aLedger);
  ~EngineStandIn();

  [[nodiscard]] const ListenAddress& Address() const { return this->server.Address(); }
  [[nodiscard]] const EngineSettings& Settings() const { return this->settings; }
  [[nodiscard]] EngineCounters Counters() { return this->core.Counters(); }

  /// Number of running streams in the latest load sample; zero after Terminate().
  [[nodiscard]] std::size_t Running();

  /// Simulates the loss of the host: stops listening and closes every connection. Must not be called from
  /// a handler.
  void Terminate();

private:
  using Exchange = Faults::Exchange;

  /// An exported KV cache that can be fetched.
  struct ExportedKv
  {
    std::vector<std::uint64_t> chain;
    std::int64_t bytes = 0;
  };

  void Route(const Exchange& aExchange);
  void Complete(const Exchange& aExchange);
  [[nodiscard]] bool Reattach(const Exchange& aExchange, const std::string& aStreamId,
                              std::int64_t aFrom, const std::string& aAttemptId);
  void Submit(const Exchange& aExchange, CompletionRequest aRequest);
  void RouteStream(const Exchange& aExchange, std::string_view aRest);
  void AnswerExport(const Exchange& aExchange, const std::string& aStreamId);
  void AnswerKv(const Exchange& aExchange, const std::string& aKvId);
  void AnswerImport(const Exchange& aExchange);
  void FetchKv(const Exchange& aExchange, const std::string& aKvId, const std::string& aFrom);
  void AnswerLoad(const Exchange& aExchange);
  void AnswerCacheEvents(const Exchange& aExchange);
  void AnswerOrder(const Exchange& aExchange);
  void ExecuteLoadOrder(const EngineModel& aModel, int aAttemptsLeft);
  void AnswerStats(const Exchange& aExchange);

  const EngineSettings settings;
  Scheduler& scheduler;
  Faults faults;
  EngineModels models;
  EngineCore core;
  std::mutex mutex;
  std::int64_t fencing = -1; ///< Highest fencing number received.
  std::string role;
  std::map<std::string, std::int64_t> orders; ///< Fencing numbers of accepted orders, by id.
  std::map<std::string, ExportedKv> exported;
  std::int64_t ordersRefused = 0;
  std::int64_t nextKv = 0;
  bool terminated = false;
  HttpServer server;
  Scheduler background; ///< Runs blocking work: fetches of KV caches and weights.
};

} // namespace lagoonward::standins
