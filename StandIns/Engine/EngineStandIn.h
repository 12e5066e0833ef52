#pragma once

#include "StandIns/Engine/EngineCore.h"
#include "StandIns/Engine/HeldModels.h"
#include "StandIns/Faults.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// One model engine behind its HTTP interface; docs/INTERFACES.md has the formats.
class EngineStandIn
{
public:
  /// Listens at once. The scheduler and the ledger may serve many engines.
  EngineStandIn(EngineSettings aSettings, const ListenAddress& aListen, Scheduler& aScheduler,
                ComputeLedger& aLedger);
  ~EngineStandIn();

  [[nodiscard]] const ListenAddress& Address() const { return this->server.Address(); }
  [[nodiscard]] const EngineSettings& Settings() const { return this->settings; }
  [[nodiscard]] EngineCounters Counters() { return this->core.Counters(); }

  /// Streams that run, as of the latest load reading; none once it has vanished.
  [[nodiscard]] std::size_t Running();

  /// The host is gone: nothing listens and every connection is cut. Not from a handler.
  void Vanish();

private:
  using Exchange = Faults::Exchange;

  /// A KV cache that was exported, waiting to be fetched.
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
  void CarryOutLoad(const HeldModel& aModel, int aTriesLeft);
  void AnswerStats(const Exchange& aExchange);

  const EngineSettings settings;
  Scheduler& scheduler;
  Faults faults;
  HeldModels models;
  EngineCore core;
  std::mutex mutex;
  std::int64_t fencing = -1; ///< Highest number seen.
  std::string role;
  std::map<std::string, std::int64_t> orders; ///< Orders taken, by id, with their number.
  std::map<std::string, ExportedKv> exported;
  std::int64_t ordersRefused = 0;
  std::int64_t nextKv = 0;
  bool vanished = false;
  HttpServer server;
  Scheduler background; ///< Blocking work: fetching KV and weights.
};

} // namespace lagoonward::standins
