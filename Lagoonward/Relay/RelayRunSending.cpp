#include "Lagoonward/Relay/RelayRun.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

// The part of a run that finds an endpoint and sends to it.

namespace lagoonward {

RouteRequest
RelayRun::MakeRouteRequest() const
{
  RouteRequest request;
  request.service = this->call.service;
  request.firstToken = this->call.route->firstEvent;
  request.priority = this->call.priority;
  request.isPlainCall = this->call.promptTokens <= 0;
  request.promptTokens = this->call.promptTokens;
  request.freshTokens = this->FreshTokens();
  request.expectedOutputTokens = std::max(this->call.outputTokens, 1);
  request.prefixBlocks = this->blocks;
  return request;
}

void
RelayRun::Dispatch()
{
  this->placeTimer.reset();
  if (this->ended) {
    return;
  }
  if (this->witness.IsPoisoned()) {
    this->Fail(CrashWitness::PoisonError(this->mayHaveRun ? Ran::Unknown : Ran::No));
    return;
  }
  auto choice = this->Choose();
  if (!choice) {
    this->WaitForPlace(choice.error());
    return;
  }
  if (const auto permit = this->context.limits.WantedPermit(choice.value().Target().id)) {
    this->BeginPermitted(std::move(choice.value()), *permit);
    return;
  }
  this->BeginAttempt(choice.value(), this->MakeRouteRequest());
}

std::vector<std::string>
RelayRun::BlockedEndpoints() const
{
  std::vector<std::string> blocked = this->context.limits.Blocked();
  if (!blocked.empty()) {
    const FleetSnapshotPtr fleet = this->context.fleet.Get();
    std::erase_if(blocked, [&](const std::string& aEach) {
      const Endpoint* endpoint = fleet->Find(aEach);
      return endpoint == nullptr || endpoint->name != this->call.service;
    });
  }
  return blocked;
}

Result<RouteChoice>
RelayRun::Choose() const
{
  const std::vector<std::string> blocked = this->BlockedEndpoints();
  std::vector<std::string_view> avoided(blocked.begin(), blocked.end());
  avoided.insert(avoided.end(), this->excluded.begin(), this->excluded.end());
  RouteRequest request = this->MakeRouteRequest();
  request.excludedEndpoints = avoided;
  auto choice = this->context.router.Choose(request);
  if (!choice && !this->excluded.empty()) {
    // Better one that has failed than none
    request.excludedEndpoints = std::span(avoided).first(blocked.size());
    choice = this->context.router.Choose(request);
  }
  return choice;
}

void
RelayRun::BeginPermitted(RouteChoice aChoice, const PermitRequest& aPermit)
{
  const auto choice = std::make_shared<const RouteChoice>(std::move(aChoice));
  const auto answered = [this, life = std::weak_ptr(this->life), &loop = this->context.loop,
                         choice](const PermitReply& aReply) {
    loop.Post([this, life, choice, aReply] {
      if (!life.expired() && !this->ended) {
        this->OnPermit(*choice, aReply);
      }
    });
  };
  this->context.permits->Ask(aPermit, answered);
}

void
RelayRun::OnPermit(const RouteChoice& aChoice, const PermitReply& aReply)
{
  if (aReply.answer == PermitAnswer::Granted) {
    this->BeginAttempt(aChoice, this->MakeRouteRequest());
    return;
  }
  this->context.limits.OnNoPermit(aChoice.Target().id, aReply);
  this->Dispatch();
}

void
RelayRun::GoOnAfter(AttemptCause aCause)
{
  if (!MayBeCrash(aCause)) {
    this->Dispatch();
    return;
  }
  this->witness.OnConnectionLost([this] {
    if (this->ended) {
      return;
    }
    if (this->witness.IsSuspect()) {
      this->Fail(Error(ErrorKind::EndpointFailed, this->lastReason, Ran::Unknown));
      return;
    }
    this->Dispatch();
  });
}

void
RelayRun::WaitForPlace(const Error& aError)
{
  // A short gap, as between two releases, is not worth a refusal
  const TimePoint now = this->context.loop.GetClock().Now();
  const Milliseconds patience =
    Times(this->call.route->firstEvent, this->context.settings.placeWaitFactor);
  // Endpoints that are blocked for longer will not be free in time
  const auto blocked = this->context.limits.UntilNextUnblocked(this->BlockedEndpoints());
  const Milliseconds pause = this->context.settings.placePause;
  if (now + std::max(pause, blocked.value_or(pause)) < this->call.receivedAt + patience) {
    this->placeTimer = this->context.loop.RunAfter(pause, [this] { this->Dispatch(); });
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
    this->WaitForPlace(Error(ErrorKind::NoEndpoint, "The endpoint has just gone."));
    return;
  }
  ++this->sends;
  this->endpointId = endpoint->id;
  this->endpointBorn = endpoint->born;
  this->dispatch = this->context.router.OnDispatched(aChoice, aRequest);
  // Demand is what callers ask for: endpoints that refuse connections by the dozen must not raise it
  const bool isTold = std::exchange(this->demandTold, true);
  this->context.observer.OnSent(this->call, this->endpointId, this->sends,
                                isTold ? EngineWork{} : this->WorkOf(aChoice));

  const TimePoint now = this->context.loop.GetClock().Now();
  this->witness.OnSent(*endpoint);
  SendTerms terms;
  terms.endpointId = this->endpointId;
  terms.left = std::chrono::floor<Milliseconds>(this->call.EndsAt() - now);
  terms.priority = aChoice.priority;
  terms.lastEventId = this->lastEventId;
  const std::string holder = this->AddressOfHolder(aChoice, *fleet);
  terms.fetchFrom = holder;
  const std::string from = std::exchange(this->copy, {});
  terms.copy = from;
  AttemptListener& listener = *this;
  this->attempt = std::make_unique<RelayAttempt>(this->context.loop, this->context.settings,
                                                 this->context.language, this->call, listener);
  // Between the choice and the first byte lie a new connection and whatever else a busy host does, a second at times
  const auto mayBeSent = [&current = this->context.fleet, &poison = this->context.poison,
                          id = this->endpointId, print = this->call.print] {
    const FleetSnapshotPtr newest = current.Get();
    const Endpoint* target = newest->Find(id);
    return target != nullptr && target->state == EndpointState::Live && !poison.IsPoisoned(print);
  };
  this->attempt->Start(fmt::format("{}:{}", endpoint->address, endpoint->port), terms, mayBeSent);
  this->ArmSilence(false);
}

std::string
RelayRun::AddressOfHolder(const RouteChoice& aChoice, const FleetSnapshot& aFleet)
{
  if (!aChoice.fetchFrom) {
    return {};
  }
  const Endpoint* holder = aFleet.Find(aChoice.table->Targets()[*aChoice.fetchFrom].id);
  return holder == nullptr ? std::string() : fmt::format("{}:{}", holder->address, holder->port);
}

EngineWork
RelayRun::WorkOf(const RouteChoice& aChoice) const
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
  // The last part of a prompt is the request's own. What was sent before, here or by its caller, may have been read
  if (this->sends > 0 || !this->lastEventId.empty() || this->call.promptParts.empty()) {
    return 0;
  }
  return this->call.promptParts.back().tokens;
}

} // namespace lagoonward
