#pragma once

#include "Lagoonward/Attempts/AnswerRegistry.h"
#include "Lagoonward/Attempts/CompletionRun.h"
#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Attempts/MoveCoordinator.h"
#include "Lagoonward/Attempts/RemoteAnswer.h"
#include "Lagoonward/Attempts/ServiceRun.h"
#include "Lagoonward/Core/Service.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Settings of the runs and their threads.
struct RunServiceSettings
{
  unsigned threads = 2; ///< Traffic threads for outgoing requests.
  HttpClientSettings client;
  AttemptSettings attempts;
  MoveCoordinatorSettings moves;
};

/// Owns the traffic threads and all requests in progress. A submitted request joins the answer of its idempotency
/// key, or is admitted and run; each run stays on one traffic thread.
class RunService final : public Service
{
public:
  static constexpr std::string_view kName = "runs";

  RunService(const RunServiceSettings& aSettings, const Clock& aClock, const FleetStore& aFleet);
  ~RunService() override;

  /// Sets the claim service for non-idempotent requests. Call this once, before Start().
  void SetClaims(ClaimService& aClaims);

  /// Sets the directory of the requests at other daemons. Optional; call this at most once, before Start().
  void SetDirectory(RequestDirectory& aDirectory);

  /// Reads tokens of an answer for another daemon that copies it. Thread-safe.
  [[nodiscard]] AnswerPart ReadAnswer(const AnswerQuery& aQuery, std::size_t aMaximumTokens) const;

  [[nodiscard]] std::string_view Name() const override;
  [[nodiscard]] Result<void> Start() override;
  /// Waits until every run has ended.
  void Drain() override;
  void Stop() override;

  /// Runs a request for a model, or joins the request with the same idempotency key. Thread-safe.
  void Submit(CompletionCall aCall, const MarketPtr& aMarket,
              const std::shared_ptr<AnswerSubscriber>& aSubscriber);

  /// The same for a plain service.
  void Submit(ServiceCall aCall, const MarketPtr& aMarket,
              const std::shared_ptr<AnswerSubscriber>& aSubscriber);

  /// Handles a new fleet snapshot: plans moves for streams on leaving endpoints, now and at an interval while any
  /// endpoint is leaving. Thread-safe; returns at once.
  void OnFleet(const FleetSnapshotPtr& aFleet);

  [[nodiscard]] int ActiveRuns() const { return this->activeRuns; }
  [[nodiscard]] const RunCounters& Counters() const { return this->counters; }
  /// The filter that rejects requests which crash endpoints.
  [[nodiscard]] PoisonRequestFilter& PoisonFilter() { return this->poison; }
  [[nodiscard]] DecisionJournal& Journal() { return this->journal; }

private:
  /// One request in progress with its market and admission ticket.
  template<typename Run>
  struct ActiveRun
  {
    MarketPtr market;
    std::shared_ptr<Ticket> ticket; ///< Null if only another daemon had accepted the request.
    std::unique_ptr<Run> run;
  };

  /// One traffic thread and its runs. The maps are accessed on that thread only.
  struct Worker
  {
    Worker(const Clock& aClock, const HttpClientSettings& aSettings,
           std::size_t aMaximumResponseMemory);

    ResponseMemory responseMemory;
    std::optional<TrafficLoop::TimerId> replanTimer;
    std::unordered_map<std::uint64_t, ActiveRun<CompletionRun>> completions;
    std::unordered_map<std::uint64_t, ActiveRun<ServiceRun>> services;
    TrafficLoop loop; ///< After the runs, so that its thread ends before they are destroyed.
    CrashProbe crashProbe;
  };

  template<typename Run, typename Call>
  void SubmitCall(Call aCall, const MarketPtr& aMarket, double aTokens,
                  const std::shared_ptr<AnswerSubscriber>& aSubscriber);
  template<typename Run, typename Call>
  void LocateThenRun(Call aCall, const MarketPtr& aMarket, double aTokens,
                     const AnswerPtr& aAnswer);
  template<typename Run, typename Call>
  void FollowThenRun(const RemoteRequest& aFound, const Call& aCall, const MarketPtr& aMarket,
                     double aTokens, const AnswerPtr& aAnswer);
  template<typename Run, typename Call>
  void AdmitThenRun(Call aCall, const MarketPtr& aMarket, double aTokens, const AnswerPtr& aAnswer,
                    bool aWasAccepted);
  template<typename Run, typename Call>
  void ClaimThenRun(Worker& aWorker, Call aCall, const MarketPtr& aMarket, const AnswerPtr& aAnswer,
                    const std::shared_ptr<Ticket>& aTicket);
  template<typename Run, typename Call>
  void PostRun(Worker& aWorker, Call aCall, const MarketPtr& aMarket, const AnswerPtr& aAnswer,
               const std::shared_ptr<Ticket>& aTicket);
  template<typename Run, typename Call>
  void BeginRun(Worker& aWorker, Call aCall, const MarketPtr& aMarket, const AnswerPtr& aAnswer,
                const std::shared_ptr<Ticket>& aTicket);
  template<typename Run>
  static std::unordered_map<std::uint64_t, ActiveRun<Run>>& RunsOf(Worker& aWorker);
  /// Reports to admission the tokens that a request used and whether it met its first-token target.
  static void SettleTicket(ActiveRun<CompletionRun>& aActive);
  void PlanMoves(Worker& aWorker);
  void Reject(const CallTerms& aTerms, const AnswerPtr& aAnswer, const Error& aError);
  /// @param aRegistryKey  empty if the registry has been notified of the end already
  void OnRunEnded(const std::string& aRegistryKey, bool aIdempotent);
  [[nodiscard]] Worker& NextWorker();

  RunServiceSettings settings;
  const Clock& clock;
  const FleetStore& fleet;
  DecisionJournal journal;
  AnswerRegistry registry;
  RunCounters counters;
  PoisonRequestFilter poison;
  MoveCoordinator moves;
  ClaimService* claims = nullptr;
  RequestDirectory* directory = nullptr;
  std::vector<std::unique_ptr<Worker>> workers;
  std::atomic<std::uint64_t> nextRun{ 1 };
  std::atomic<int> activeRuns{ 0 };
  std::mutex drainMutex;
  std::condition_variable runEnded; ///< Used with drainMutex: activeRuns decreased.
};

} // namespace lagoonward
