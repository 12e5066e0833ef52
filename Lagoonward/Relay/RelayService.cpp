#include "Lagoonward/Relay/RelayService.h"

#include <utility>

namespace lagoonward {

namespace {

Error
ShutdownError(Milliseconds aRetryAfter)
{
  return Error(ErrorKind::Draining, "The daemon shut down before the request was admitted.")
    .WithRetryAfter(aRetryAfter);
}

} // namespace

RelayService::RelayService(const RelaySettings& aSettings, AnyEndpointDialect aDialect,
                           Market& aMarket, const FleetStore& aFleet, RelayObserver& aObserver,
                           const Clock& aClock)
  : settings(aSettings)
  , dialect(std::move(aDialect))
  , market(aMarket)
  , observer(aObserver)
  , loop(aClock, aSettings.client)
  , crashProbe(this->loop)
  , pathMonitor(aSettings.path, this->loop, aFleet,
                [&aMarket] { aMarket.router.ResetCircuitBreakers(); })
  , connectionReuse(aSettings.connectionReuse, aClock)
  , copyReleaser(this->loop, this->dialect, this->settings)
  , responseMemory(aSettings.maximumResponseMemory)
  , deliveries(this->responseMemory)
  , forwarder(this->loop, this->settings, this->responseMemory, this->deliveries)
  , localPermits(aClock)
  , localPlaces(this->loop)
  , localSlots(this->loop, aMarket.queuePools)
  , waitingBytes(aSettings.maximumWaitingBytes)
  , gate(aFleet, aMarket.endpointLimits, aMarket.places, aMarket.notices)
  , localStreamOrigins({}, aClock)
  , context{ this->loop,
             aMarket.router,
             aMarket.retryBudget,
             aMarket.poison,
             aMarket.poisonParts,
             this->crashProbe,
             aMarket.endpointLimits,
             aMarket.brittle,
             aMarket.notices,
             &this->localPermits,
             this->gate,
             aMarket.places,
             &this->localPlaces,
             aMarket.queuePools,
             aMarket.slots,
             &this->localSlots,
             this->waitingBytes,
             this->responseMemory,
             &this->localStreamOrigins,
             nullptr,
             this->pathMonitor,
             this->connectionReuse,
             this->copyReleaser,
             aFleet,
             nullptr,
             this->settings,
             this->dialect,
             aObserver }
{
}

RelayService::~RelayService()
{
  this->Stop();
}

std::string_view
RelayService::Name() const
{
  return kName;
}

Result<void>
RelayService::Start()
{
  this->loop.Post([this] {
    this->pathMonitor.Start();
    this->CheckCallers();
    this->CheckForwardedCallers();
  });
  this->loop.Start();
  return boost::outcome_v2::success();
}

void
RelayService::Stop()
{
  this->loop.Stop();
  this->pendingRequests.clear();
  this->runs.clear();
  this->deliveries.Clear();
}

void
RelayService::Submit(RelayCall aCall, std::unique_ptr<RelayCaller> aCaller)
{
  aCall.fingerprint = ComputeFingerprint(aCall);
  aCall.sharedPartKeys = ComputeSharedPartKeys(aCall);
  const auto request =
    std::make_shared<PendingRequest>(PendingRequest{ std::move(aCall), std::move(aCaller) });
  this->loop.Post([this, request] { this->AwaitAdmission(request); });
}

void
RelayService::AwaitAdmission(const PendingRequestPtr& aRequest)
{
  if (this->abandoned) {
    this->Refuse(*aRequest, ShutdownError(this->settings.retryAfterFloor));
    return;
  }
  this->pendingRequests.insert(aRequest);
  this->AcquireTokens(aRequest);
}

void
RelayService::AcquireTokens(const PendingRequestPtr& aRequest)
{
  const auto start = [this, aRequest] { this->AdmitAndStart(aRequest); };
  if (this->tokenSource != nullptr && !aRequest->call.account.empty()) {
    if (this->ShouldAwaitDaemonCount(aRequest->call)) {
      this->loop.RunAfter(this->settings.endpointRetryInterval,
                          [this, aRequest] { this->AcquireTokens(aRequest); });
      return;
    }
    const AdmissionRequest request = this->MakeAdmissionRequest(aRequest->call);
    if (const auto wanted = this->market.admission.MakeTokenRequest(request)) {
      this->tokenSource->RequestTokens(*wanted, [this, start] { this->loop.Post(start); });
      return;
    }
  }
  start();
}

void
RelayService::Forward(ForwardRequest aRequest, std::unique_ptr<RelayCaller> aCaller)
{
  const auto request = std::make_shared<ForwardRequest>(std::move(aRequest));
  const auto caller = std::make_shared<std::unique_ptr<RelayCaller>>(std::move(aCaller));
  this->loop.Post([this, request, caller] {
    if (this->abandoned) {
      (*caller)->SendError(ShutdownError(this->settings.retryAfterFloor));
      return;
    }
    this->forwarder.Forward(std::move(*request), std::move(*caller));
  });
}

void
RelayService::CheckForwardedCallers()
{
  this->forwarder.CheckCallers();
  this->loop.RunAfter(this->settings.forwardCheckInterval,
                      [this] { this->CheckForwardedCallers(); });
}

bool
RelayService::ShouldAwaitDaemonCount(const RelayCall& aCall) const
{
  const Milliseconds limit = Scale(aCall.route->firstEventTarget, this->settings.limitWaitFactor);
  return this->loop.GetClock().Now() < aCall.receivedAt + limit &&
         !this->market.admission.KnowsDaemonCount();
}

AdmissionRequest
RelayService::MakeAdmissionRequest(const RelayCall& aCall) const
{
  AdmissionRequest request;
  request.client = aCall.account;
  request.rank = this->market.router.RankOf(aCall.priority);
  request.tokens = aCall.limitTokens;
  request.use = aCall.IsContinuation() ? LimitTokenUse::Continuation : LimitTokenUse::NewRequest;
  return request;
}

Result<std::unique_ptr<Ticket>>
RelayService::Admit(const RelayCall& aCall)
{
  if (aCall.account.empty()) {
    return std::unique_ptr<Ticket>();
  }
  auto ticket = this->market.admission.Admit(this->MakeAdmissionRequest(aCall));
  if (!ticket) {
    return ticket.error();
  }
  return std::make_unique<Ticket>(std::move(ticket.value()));
}

bool
RelayService::ShouldAwaitTokens(PendingRequest& aRequest, const Error& aError) const
{
  const RelayCall& call = aRequest.call;
  if (!call.IsContinuation() || aError.kind != ErrorKind::ClientOverLimit) {
    return false;
  }
  const TimePoint limit = call.receivedAt + Scale(call.route->eventIntervalTarget,
                                                  this->settings.continuationTokenWaitFactor);
  const TimePoint next =
    this->loop.GetClock().Now() + std::max(aError.retryAfter.value_or(Milliseconds(0)),
                                           this->settings.continuationTokenRetryInterval);
  return next < std::min(limit, call.EffectiveDeadline()) && !aRequest.caller->IsDisconnected();
}

void
RelayService::AdmitAndStart(const PendingRequestPtr& aRequest)
{
  if (!this->pendingRequests.contains(aRequest)) {
    return; // Refused meanwhile by AbandonAll()
  }
  const RelayCall& call = aRequest->call;
  this->UpdatePressure(call);
  auto ticket = this->Admit(call);
  if (!ticket) {
    if (this->ShouldAwaitTokens(*aRequest, ticket.error())) {
      this->loop.RunAfter(this->settings.continuationTokenRetryInterval,
                          [this, aRequest] { this->AcquireTokens(aRequest); });
      return;
    }
    this->pendingRequests.erase(aRequest);
    this->Refuse(*aRequest, ticket.error());
    return;
  }
  this->pendingRequests.erase(aRequest);
  ActiveRun active;
  active.ticket = std::move(ticket.value());
  const std::uint64_t id = this->nextRunId++;
  ++this->activeRuns;
  RelayRunHandlers handlers;
  handlers.onEnded = [this, id] { this->OnRunEnded(id); };
  handlers.onRepeat = [this, id] { this->ChargeRepeat(this->runs.at(id).run->Call()); };
  active.run = std::make_unique<RelayRun>(this->context, std::move(aRequest->call),
                                          std::move(aRequest->caller), std::move(handlers));
  RelayRun& run = *active.run;
  this->runs.emplace(id, std::move(active));
  run.Start();
}

void
RelayService::Refuse(PendingRequest& aRequest, const Error& aError)
{
  this->observer.OnAccepted(aRequest.call);
  aRequest.caller->SendError(aError);
  const int status = GetErrorRule(aError.kind).httpStatus;
  this->observer.OnEnded(aRequest.call, { status, false, 0, aError.message, {} });
}

void
RelayService::OnRunEnded(std::uint64_t aRun)
{
  const auto ended = this->runs.extract(aRun);
  this->deliveries.Add(ended.mapped().run->TakeCaller());
  --this->activeRuns;
}

void
RelayService::ChargeRepeat(const RelayCall& aCall)
{
  if (aCall.account.empty()) {
    return;
  }
  const auto overdraft = this->market.admission.ChargeRepeat(this->MakeAdmissionRequest(aCall));
  if (overdraft && this->tokenSource != nullptr) {
    this->tokenSource->ReportOverdraft(*overdraft);
  }
}

void
RelayService::UpdatePressure(const RelayCall& aCall)
{
  const bool isQueued = !this->market.queuePools.Get()->PoolsOf(aCall.service).empty();
  if (isQueued || this->market.brittle.IsBrittle(aCall.service)) {
    // The owners of the endpoints know what room there is, and refuse what would wait for too long
    this->market.admission.SetPressure(0);
    return;
  }
  RouteRequest request;
  request.service = aCall.service;
  const std::vector<std::string> restricted = this->gate.RestrictedEndpoints();
  const std::vector<std::string_view> excluded(restricted.begin(), restricted.end());
  request.excludedEndpoints = excluded;
  this->market.admission.SetPressure(this->market.router.Pressure(request));
}

void
RelayService::CheckCallers()
{
  for (auto& [id, active] : this->runs) {
    active.run->CheckCaller();
  }
  this->deliveries.Update();
  this->loop.RunAfter(this->settings.callerCheckInterval, [this] { this->CheckCallers(); });
}

void
RelayService::OnFleet(const FleetSnapshotPtr& aFleet)
{
  this->loop.Post([this, aFleet] {
    for (auto& [id, active] : this->runs) {
      active.run->OnFleet(*aFleet);
    }
  });
}

void
RelayService::AbandonAll()
{
  this->loop.Post([this] {
    // A reply from outside may still come for a request that waits; it must not start it then
    this->abandoned = true;
    for (const PendingRequestPtr& request : std::exchange(this->pendingRequests, {})) {
      this->Refuse(*request, ShutdownError(this->settings.retryAfterFloor));
    }
    for (auto& [id, active] : this->runs) {
      active.run->Abandon();
    }
    this->forwarder.AbandonAll();
  });
}

} // namespace lagoonward
