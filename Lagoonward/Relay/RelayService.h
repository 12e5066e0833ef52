#pragma once

#include "Lagoonward/Admission/LimitTokenSource.h"
#include "Lagoonward/Admission/PermitSource.h"
#include "Lagoonward/Attempts/Market.h"
#include "Lagoonward/Core/Service.h"
#include "Lagoonward/Relay/CopyReleaser.h"
#include "Lagoonward/Relay/LocalPlaceSource.h"
#include "Lagoonward/Relay/LocalSlotSource.h"
#include "Lagoonward/Relay/PathMonitor.h"
#include "Lagoonward/Relay/RelayRun.h"
#include "Lagoonward/Relay/ReplyDeliveries.h"
#include "Lagoonward/Relay/RequestForwarder.h"
#include "Lagoonward/Relay/StreamOriginTable.h"
#include "Lagoonward/Relay/WaitingBytes.h"
#include "Lagoonward/Wire/ResponseMemory.h"

#include <atomic>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace lagoonward {

/// Owns the traffic thread of relayed requests and all requests in progress. Admits or refuses each request, runs
/// it, and ends it when its caller has disconnected.
class RelayService final : public Service
{
public:
  static constexpr std::string_view kName = "relay";

  /// The references must outlive the service.
  RelayService(const RelaySettings& aSettings, AnyEndpointDialect aDialect, Market& aMarket,
               const FleetStore& aFleet, RelayObserver& aObserver, const Clock& aClock);
  ~RelayService() override;

  [[nodiscard]] std::string_view Name() const override;
  [[nodiscard]] Result<void> Start() override;
  void Stop() override;

  /// Sets the source of limit tokens that this daemon does not hold locally. To be called before Start(); must outlive
  /// the service.
  void SetTokenSource(LimitTokenSource& aTokenSource) { this->tokenSource = &aTokenSource; }

  /// Sets the source of permits for endpoints that advertise a limit; without it this daemon grants all of them
  /// itself. To be called before Start(); must outlive the service.
  void SetPermitSource(PermitSource& aPermitSource) { this->context.permitSource = &aPermitSource; }

  /// Sets the source of places at brittle endpoints; without it this daemon gives out all of them itself. To be called
  /// before Start(); must outlive the service.
  void SetPlaceSource(PlaceSource& aPlaceSource) { this->context.placeSource = &aPlaceSource; }

  /// Sets the source of slots for queued requests; without it this daemon gives out all of them itself. To be called before
  /// Start(); must outlive the service.
  void SetSlotSource(SlotSource& aSlotSource) { this->context.slotSource = &aSlotSource; }

  /// Sets where the origins of streams are kept, and the software versions of the services; without it origins are kept in
  /// this process, and versions are not known. To be called before Start(); must outlive the service.
  void SetStreamOrigins(StreamOriginStore& aOrigins, SoftwareVersionHistory* aVersions)
  {
    this->context.streamOrigins = &aOrigins;
    this->context.versions = aVersions;
  }

  /// Sets what decides whether requests may be sent on the snapshot of the endpoints; without it they always may. To be
  /// called before Start(); must outlive the service.
  void SetSnapshotGuard(SnapshotGuard& aGuard) { this->context.snapshotGuard = &aGuard; }

  /// Runs a request or refuses it. If tokens of the client's limit are missing locally, the decision waits for the
  /// reply of the token source. Safe from any thread.
  void Submit(RelayCall aCall, std::unique_ptr<RelayCaller> aCaller);

  /// Whether this daemon has lost the path to all endpoints. Any thread.
  [[nodiscard]] bool HasLostPath() const { return this->pathMonitor.IsLost(); }

  /// Forwards a request to another daemon instead of running it here. Safe from any thread.
  void Forward(ForwardRequest aRequest, std::unique_ptr<RelayCaller> aCaller);

  /// Applies a new snapshot of the endpoints to all runs. Safe from any thread.
  void OnFleet(const FleetSnapshotPtr& aFleet);

  /// Answers all requests in progress, for the shutdown of the daemon: those that an endpoint may have run fail, all
  /// others are refused, also those that come later. Safe from any thread.
  void AbandonAll();

  [[nodiscard]] int ActiveRuns() const { return this->activeRuns; }

  /// The traffic loop, for other components that share its thread.
  [[nodiscard]] TrafficLoop& Loop() { return this->loop; }

private:
  struct ActiveRun
  {
    std::unique_ptr<Ticket> ticket; ///< Null for a request without an account.
    std::unique_ptr<RelayRun> run;
  };

  /// A request that has not been admitted yet. Held by a shared pointer, as tasks of the loop must be copyable.
  struct PendingRequest
  {
    RelayCall call;
    std::unique_ptr<RelayCaller> caller;
  };
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  /// Waits until the request can be admitted, unless the daemon shuts down.
  void AwaitAdmission(const PendingRequestPtr& aRequest);
  /// Requests the limit tokens that are missing locally, if that may help, and then admits the request.
  void AcquireTokens(const PendingRequestPtr& aRequest);
  void AdmitAndStart(const PendingRequestPtr& aRequest);
  /// Ends a request that was not admitted.
  void Refuse(PendingRequest& aRequest, const Error& aError);
  /// Admits the request. @return its ticket, null for a route without accounts
  [[nodiscard]] Result<std::unique_ptr<Ticket>> Admit(const RelayCall& aCall);
  /// Whether a refused request should wait for tokens of its account's limit.
  [[nodiscard]] bool ShouldAwaitTokens(PendingRequest& aRequest, const Error& aError) const;
  /// Whether the request should wait until this daemon knows how many daemons share limits.
  [[nodiscard]] bool ShouldAwaitDaemonCount(const RelayCall& aCall) const;
  [[nodiscard]] AdmissionRequest MakeAdmissionRequest(const RelayCall& aCall) const;
  /// Charges a request that is run once more to its account's limit.
  void ChargeRepeat(const RelayCall& aCall);
  void OnRunEnded(std::uint64_t aRun);
  void CheckCallers();
  void CheckForwardedCallers();
  void UpdatePressure(const RelayCall& aCall);

  RelaySettings settings;
  AnyEndpointDialect dialect;
  Market& market;
  RelayObserver& observer;
  LimitTokenSource* tokenSource = nullptr;
  TrafficLoop loop;
  CrashProbe crashProbe;
  PathMonitor pathMonitor;
  ConnectionReuse connectionReuse; ///< Accessed on the loop only.
  CopyReleaser copyReleaser;       ///< Accessed on the loop only.
  ResponseMemory responseMemory;   ///< Accessed on the loop only.
  ReplyDeliveries deliveries;      ///< Accessed on the loop only.
  RequestForwarder forwarder;
  LocalPermitSource localPermits;
  LocalPlaceSource localPlaces;
  LocalSlotSource localSlots;
  WaitingBytes waitingBytes; ///< Accessed on the loop only.
  SendGate gate;
  StreamOriginTable localStreamOrigins;
  RelayContext context;
  std::unordered_set<PendingRequestPtr>
    pendingRequests;      ///< Accessed on the loop only, as are the next two.
  bool abandoned = false; ///< See AbandonAll().
  std::unordered_map<std::uint64_t, ActiveRun> runs;
  std::uint64_t nextRunId = 1;
  std::atomic<int> activeRuns{ 0 };
};

} // namespace lagoonward
