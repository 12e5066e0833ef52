#pragma once

#include "Lagoonward/Admission/LimitLender.h"
#include "Lagoonward/Admission/PermitLender.h"
#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Core/Service.h"
#include "Lagoonward/Relay/RelayRun.h"

#include <atomic>
#include <memory>
#include <unordered_map>

namespace lagoonward {

/// Owns the traffic thread of relayed requests and all of them that are in progress: admits or refuses
/// each, runs it, and ends it when its caller has gone.
class RelayService final : public Service
{
public:
  static constexpr std::string_view kName = "relay";

  /// References must outlive it.
  RelayService(const RelaySettings& aSettings, EndpointLanguage aLanguage, Market& aMarket,
               const FleetStore& aFleet, RelayObserver& aObserver, const Clock& aClock);
  ~RelayService() override;

  [[nodiscard]] std::string_view Name() const override;
  [[nodiscard]] Result<void> Start() override;
  void Stop() override;

  /// Where tokens of clients' limits are borrowed that this daemon does not hold. Before Start(); must outlive it.
  void SetLender(LimitLender& aLender) { this->lender = &aLender; }

  /// Where permits for endpoints that name a limit are asked for; without it this daemon gives them all. Before Start();
  /// must outlive it.
  void SetPermits(PermitLender& aPermits) { this->context.permits = &aPermits; }

  /// Runs a request, or refuses it: at once, or as soon as it is known that nobody lends what its client's limit lacks
  /// here. Safe from any thread.
  void Submit(RelayCall aCall, std::unique_ptr<RelayCaller> aCaller);

  /// Takes a new picture of the endpoints. Safe from any thread.
  void OnFleet(const FleetSnapshotPtr& aFleet);

  /// Gives up on all that is still in progress, for a daemon about to end. Safe from any thread.
  void AbandonAll();

  [[nodiscard]] int ActiveRuns() const { return this->activeRuns; }

  /// The traffic loop, for others that share its thread.
  [[nodiscard]] TrafficLoop& Loop() { return this->loop; }

private:
  struct ActiveRun
  {
    std::unique_ptr<Ticket> ticket; ///< Null for a request without an account.
    std::unique_ptr<RelayRun> run;
  };

  /// A request that waits for its turn. A task must be copyable, so it travels behind a shared pointer.
  struct Waiting
  {
    RelayCall call;
    std::unique_ptr<RelayCaller> caller;
  };

  /// Borrows what the request's client lacks here, if that may help, and goes on.
  void Prepare(const std::shared_ptr<Waiting>& aRequest);
  void Begin(RelayCall aCall, std::unique_ptr<RelayCaller> aCaller);
  [[nodiscard]] AdmissionRequest MakeAdmissionRequest(const RelayCall& aCall) const;
  void CheckCallers();
  void NotePressure(const RelayCall& aCall);

  RelaySettings settings;
  EndpointLanguage language;
  Market& market;
  RelayObserver& observer;
  LimitLender* lender = nullptr;
  TrafficLoop loop;
  CrashCheck crashes;
  LocalPermits localPermits;
  RelayContext context;
  std::unordered_map<std::uint64_t, ActiveRun> runs; ///< Touched on the loop only.
  std::uint64_t nextRun = 1;
  std::atomic<int> activeRuns{ 0 };
};

} // namespace lagoonward
