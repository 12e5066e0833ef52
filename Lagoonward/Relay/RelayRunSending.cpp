#include "Lagoonward/Relay/RelayRun.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

// Part of RelayRun: selects an endpoint and sends the request to it.

namespace lagoonward {

namespace {

/// Whether the snapshot of the endpoints is recent enough to send a request on it.
bool
IsSnapshotUsable(SnapshotGuard* aGuard)
{
  return aGuard == nullptr || aGuard->MaySend();
}

} // namespace

RouteRequest
RelayRun::MakeRouteRequest() const
{
  RouteRequest request;
  request.service = this->call.service;
  if (this->origin) {
    request.softwareVersion = this->origin->softwareVersion;
  }
  request.firstToken = this->call.route->firstEventTarget;
  request.priority = this->call.priority;
  request.isPlainCall = this->call.promptTokens <= 0;
  request.promptTokens = this->call.promptTokens;
  request.freshTokens = this->FreshTokens();
  request.expectedOutputTokens = std::max(this->call.outputTokens, 1);
  request.prefixBlocks = this->promptBlocks;
  return request;
}

void
RelayRun::Dispatch()
{
  this->endpointWaitTimer.reset();
  if (this->ended) {
    return;
  }
  if (this->crashTracker.IsPoisoned()) {
    this->Fail(RunCrashTracker::PoisonError(this->mayHaveRun ? Ran::Unknown : Ran::No));
    return;
  }
  if (!IsSnapshotUsable(this->context.snapshotGuard)) {
    this->endpointWaitTimer = this->context.loop.RunAfter(
      this->context.settings.snapshotRecheckInterval, [this] { this->Dispatch(); });
    return;
  }
  if (this->IsQueued()) {
    this->RequestSlot();
    return;
  }
  auto choice = this->Choose();
  if (!choice) {
    this->WaitForEndpoint(choice.error());
    return;
  }
  if (this->context.brittleServices.IsBrittle(this->call.service)) {
    this->RequestPlace(std::move(choice.value()));
    return;
  }
  this->RequestPermitOrBegin(std::move(choice.value()));
}

void
RelayRun::RequestPermitOrBegin(RouteChoice aChoice)
{
  if (const auto permit = this->context.endpointLimits.MakePermitRequest(aChoice.Target().id)) {
    this->RequestPermit(std::move(aChoice), *permit);
    return;
  }
  this->BeginAttempt(aChoice, this->MakeRouteRequest());
}

Result<RouteChoice>
RelayRun::Choose() const
{
  const std::vector<std::string> blocked = this->context.gate.BlockedEndpoints(this->call.service);
  std::vector<std::string_view> avoided(blocked.begin(), blocked.end());
  avoided.insert(avoided.end(), this->failedEndpoints.begin(), this->failedEndpoints.end());
  avoided.insert(avoided.end(), this->fullEndpoints.begin(), this->fullEndpoints.end());
  RouteRequest request = this->MakeRouteRequest();
  request.excludedEndpoints = avoided;
  auto choice = this->context.router.Choose(request);
  if (!choice && !this->fullEndpoints.empty()) {
    // Ask an endpoint that had no place once more if there is no other
    request.excludedEndpoints =
      std::span(avoided).first(blocked.size() + this->failedEndpoints.size());
    choice = this->context.router.Choose(request);
  }
  if (!choice && !this->failedEndpoints.empty()) {
    // Retry an endpoint that has failed this request if there is no other
    request.excludedEndpoints = std::span(avoided).first(blocked.size());
    choice = this->context.router.Choose(request);
  }
  return choice;
}

void
RelayRun::RequestPermit(RouteChoice aChoice, const PermitRequest& aPermit)
{
  const auto choice = std::make_shared<const RouteChoice>(std::move(aChoice));
  const auto onReply = [this, aliveToken = std::weak_ptr(this->aliveToken),
                        &loop = this->context.loop, choice](const PermitReply& aReply) {
    loop.Post([this, aliveToken, choice, aReply] {
      if (!aliveToken.expired() && !this->ended) {
        this->OnPermitReply(*choice, aReply);
      }
    });
  };
  this->context.permitSource->RequestPermit(aPermit, onReply);
}

void
RelayRun::OnPermitReply(const RouteChoice& aChoice, const PermitReply& aReply)
{
  if (aReply.answer == PermitAnswer::Granted) {
    this->BeginAttempt(aChoice, this->MakeRouteRequest());
    return;
  }
  this->context.endpointLimits.OnPermitDenied(aChoice.Target().id, aReply);
  this->place.End(PlaceAction::Release);
  this->slot.End(SlotAction::Withdraw);
  this->Dispatch();
}

void
RelayRun::ContinueAfterFailure(AttemptCause aCause)
{
  if (!IsPossibleCrash(aCause)) {
    this->Dispatch();
    return;
  }
  this->crashTracker.OnConnectionLost([this] {
    if (this->ended) {
      return;
    }
    if (this->crashTracker.IsSuspect()) {
      this->Fail(Error(ErrorKind::EndpointFailed, this->lastReason, Ran::Unknown));
      return;
    }
    this->Dispatch();
  });
}

void
RelayRun::WaitForEndpoint(const Error& aError)
{
  // Wait through short gaps without an endpoint, as between two releases, instead of refusing
  if (this->IsVersionGone()) {
    this->Fail(Error(ErrorKind::OriginGone,
                     fmt::format("No endpoint of {} runs version {}, which began the stream.",
                                 this->call.service, this->origin->softwareVersion),
                     this->mayHaveRun ? Ran::Unknown : Ran::No));
    return;
  }
  const TimePoint now = this->context.loop.GetClock().Now();
  // Endpoints that all stay blocked beyond the wait limit cannot be used in time
  const auto blocked = this->context.gate.UntilFirstUnblocked(this->call.service);
  const Milliseconds retryInterval = this->context.settings.endpointRetryInterval;
  if (now + std::max(retryInterval, blocked.value_or(retryInterval)) <
      this->endpointWaitSince + this->EndpointWaitLimit()) {
    this->endpointWaitTimer =
      this->context.loop.RunAfter(retryInterval, [this] { this->Dispatch(); });
    return;
  }
  if (this->mayHaveRun) {
    this->Fail(Error(ErrorKind::EndpointFailed, this->lastReason, Ran::Unknown));
    return;
  }
  const Milliseconds wait = aError.retryAfter.value_or(this->context.settings.retryAfterFloor);
  this->Fail(aError.WithRetryAfter(std::max(wait, blocked.value_or(wait))));
}

void
RelayRun::BeginAttempt(const RouteChoice& aChoice, const RouteRequest& aRequest)
{
  const FleetSnapshotPtr fleet = this->context.fleet.Get();
  const Endpoint* endpoint = fleet->Find(aChoice.Target().id);
  if (endpoint == nullptr) {
    this->place.End(PlaceAction::Release);
    this->slot.End(SlotAction::Withdraw);
    if (this->continuation) {
      this->FailWithoutState();
      return;
    }
    this->WaitForEndpoint(
      Error(ErrorKind::NoEndpoint, "The selected endpoint is no longer in the endpoint list."));
    return;
  }
  if (this->mayHaveRun) {
    this->handlers.onRepeat();
  }
  if (!this->place.IsHeld()) {
    this->place =
      PlaceHold(this->context.places, *this->context.placeSource, this->MakePlaceUse(*endpoint), 0);
  }
  ++this->sends;
  this->placeRequests = 0;
  this->placeRefusals = 0;
  this->slotSearch = {};
  this->noSlotOwnerSince.reset();
  this->bypassesQueue = false;
  this->fullEndpoints.clear();
  this->endpointId = endpoint->id;
  this->endpointKey = EndpointKeyOf(*endpoint);
  this->endpointIncarnation = endpoint->incarnation;
  this->endpointVersion = endpoint->softwareVersion;
  this->attemptHasEvents = false;
  this->attemptChoice = aChoice;
  this->attemptAddress = fmt::format("{}:{}", endpoint->address, endpoint->port);
  this->stopState = StopState::NotStopped;
  this->sourceLiveAsOf.reset();
  this->lastResponse = {};
  this->dispatch = this->context.router.OnDispatched(aChoice, aRequest);
  // Demand counts each caller request once: resends after many refused connections must not raise it
  const bool isReported = std::exchange(this->demandReported, true);
  this->context.observer.OnSent(
    this->call, *endpoint,
    { this->sends, isReported ? EngineWork{} : this->EstimateWork(aChoice),
      this->dispatch.ownInFlight, this->dispatch.peersInFlight,
      this->context.notices.Find(this->endpointKey), this->TakeSlotWait() });
  this->context.notices.OnSent(this->endpointKey);

  const TimePoint now = this->context.loop.GetClock().Now();
  this->crashTracker.OnSent(*endpoint);
  SendOptions terms;
  terms.endpointId = this->endpointId;
  terms.remainingTime = std::chrono::floor<Milliseconds>(this->call.EffectiveDeadline() - now);
  terms.priority = aChoice.priority;
  terms.lastEventId = this->lastEventId;
  const std::string prefixSource = this->PrefixSourceAddress(aChoice, *fleet);
  terms.fetchFrom = prefixSource;
  terms.wasSentBefore = this->continuation || this->WasSentTo(this->endpointId);
  terms.needsOwnConnection = !this->call.route->IsRepeatable() &&
                             this->context.connectionReuse.IsSuspended(this->endpointKey);
  const auto continued = std::exchange(this->continuation, {});
  std::optional<TimePoint> reachableUntil;
  if (continued) {
    terms.stateHandle = continued->stateHandle;
    reachableUntil = continued->reachableUntil;
  }
  AttemptListener& listener = *this;
  this->attempt = std::make_unique<RelayAttempt>(
    this->context.loop, this->context.settings, this->context.dialect, this->context.pathMonitor,
    this->context.responseMemory, this->call, listener);
  this->attempt->Start(this->attemptAddress, terms, this->MakeSendCheck(reachableUntil));
  this->RecordLive();
  this->ArmSilenceTimer(false);
}

std::function<bool()>
RelayRun::MakeSendCheck(const std::optional<TimePoint>& aReachableUntil) const
{
  // Opening a connection on a busy host can take a second, so the state is checked again right before the first byte
  // May be called after this run has ended, until its transfer is cancelled
  const auto isPoisoned =
    [&poisonFilter = this->context.poisonFilter, &poisonPartFilter = this->context.poisonPartFilter,
     fingerprint = this->call.fingerprint, partKeys = this->call.sharedPartKeys] {
      return poisonFilter.IsPoisoned(fingerprint) || poisonPartFilter.IsAnyPoisoned(partKeys);
    };
  const auto maySend = [&gate = this->context.gate, guard = this->context.snapshotGuard,
                        id = this->endpointId, key = this->endpointKey] {
    return gate.MaySendTo(id, key) && IsSnapshotUsable(guard);
  };
  if (!aReachableUntil) {
    return [maySend, isPoisoned] { return maySend() && !isPoisoned(); };
  }
  return [maySend, isPoisoned, &gate = this->context.gate, &clock = this->context.loop.GetClock(),
          id = this->endpointId, key = this->endpointKey, until = *aReachableUntil] {
    const bool isReachable = maySend() || clock.BootNow() < until;
    return isReachable && gate.MayContinueAt(id, key) && !isPoisoned();
  };
}

bool
RelayRun::WasSentTo(std::string_view aEndpoint) const
{
  // An earlier attempt has failed there, or its run was moved away
  return aEndpoint == this->lastMoveSource ||
         std::find(this->failedEndpoints.begin(), this->failedEndpoints.end(), aEndpoint) !=
           this->failedEndpoints.end();
}

std::string
RelayRun::PrefixSourceAddress(const RouteChoice& aChoice, const FleetSnapshot& aFleet)
{
  if (!aChoice.fetchFrom) {
    return {};
  }
  const Endpoint* prefixSource = aFleet.Find(aChoice.table->Targets()[*aChoice.fetchFrom].id);
  return prefixSource == nullptr ? std::string()
                                 : fmt::format("{}:{}", prefixSource->address, prefixSource->port);
}

EngineWork
RelayRun::EstimateWork(const RouteChoice& aChoice) const
{
  if (this->call.promptTokens <= 0) {
    return { 0, 0, 1 };
  }
  const int uncached = std::max(this->call.promptTokens - aChoice.cachedTokens, 0);
  return { static_cast<double>(uncached), static_cast<double>(std::max(this->call.outputTokens, 1)),
           0 };
}

int
RelayRun::FreshTokens() const
{
  // The last prompt part is unique to the request, but after an earlier send, by this run or by the caller, an
  // endpoint may already have it in its cache
  if (this->sends > 0 || !this->lastEventId.empty() || this->call.promptParts.empty()) {
    return 0;
  }
  return this->call.promptParts.back().tokens;
}

} // namespace lagoonward
