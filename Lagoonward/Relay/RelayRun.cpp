#include "Lagoonward/Relay/RelayRun.h"

#include "Lagoonward/Relay/PromptBlocks.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace lagoonward {

namespace {

constexpr int kServerError = 500;

Milliseconds
Times(Milliseconds aSpan, double aFactor)
{
  return Milliseconds(static_cast<std::int64_t>(static_cast<double>(aSpan.count()) * aFactor));
}

} // namespace

RelayRun::RelayRun(const RelayContext& aContext, RelayCall aCall,
                   std::unique_ptr<RelayCaller> aCaller, std::function<void()> aOnEnded)
  : context(aContext)
  , call(std::move(aCall))
  , caller(std::move(aCaller))
  , onEnded(std::move(aOnEnded))
  , blocks(PromptBlocks(this->call.promptParts, aContext.settings.blockTokens))
  , witness(this->call.print, aContext.poison, aContext.crashes, aContext.fleet,
            aContext.loop.GetClock())
  , lastEventId(this->call.lastEventId)
{
}

RelayRun::~RelayRun()
{
  if (!this->ended) {
    this->DropAttempt(DispatchOutcome::Cancelled);
  }
  for (const auto& timer : { this->dueTimer, this->placeTimer, this->silenceTimer }) {
    if (timer) {
      this->context.loop.CancelTimer(*timer);
    }
  }
}

void
RelayRun::Start()
{
  this->context.observer.OnAccepted(this->call);
  const TimePoint now = this->context.loop.GetClock().Now();
  const auto left = std::chrono::ceil<Milliseconds>(this->call.EndsAt() - now);
  this->dueTimer =
    this->context.loop.RunAfter(std::max(left, Milliseconds(0)), [this] { this->OnDue(); });
  this->Dispatch();
}

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

Result<RouteChoice>
RelayRun::Choose() const
{
  const std::vector<std::string> blocked = this->context.limits.Blocked();
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
  const auto blocked = this->context.limits.UntilNextUnblocked();
  const Milliseconds pause = this->context.settings.placePause;
  if (now + std::max(pause, blocked.value_or(pause)) < this->call.receivedAt + patience) {
    this->placeTimer = this->context.loop.RunAfter(pause, [this] { this->Dispatch(); });
    return;
  }
  if (this->mayHaveRun) {
    this->Fail(Error(ErrorKind::EndpointFailed, this->lastReason, Ran::Unknown));
    return;
  }
  const Milliseconds floor =
    std::max(this->context.settings.retryAfterFloor, blocked.value_or(pause));
  this->Fail(aError.WithRetryAfter(std::max(aError.retryAfter.value_or(floor), floor)));
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

void
RelayRun::ArmSilence(bool aHasBegun)
{
  if (this->silenceTimer) {
    this->context.loop.CancelTimer(*this->silenceTimer);
    this->silenceTimer.reset();
  }
  const RelayRoute& route = *this->call.route;
  // The last attempt that is allowed may take all the time there is
  if (!this->MayRunAgain()) {
    return;
  }
  const RelaySettings& settings = this->context.settings;
  Milliseconds patience{ 0 };
  if (route.kind != RelayKind::Stream) {
    patience = std::max(Times(route.firstEvent, settings.silenceFactor), settings.minimumSilence);
  } else if (aHasBegun) {
    patience = Times(route.betweenEvents, settings.pauseSilenceFactor);
  } else {
    patience = Times(route.firstEvent, settings.firstEventSilenceFactor);
  }
  if (patience > Milliseconds::zero()) {
    this->silenceTimer = this->context.loop.RunAfter(patience, [this] { this->OnSilence(); });
  }
}

void
RelayRun::OnSilence()
{
  this->silenceTimer.reset();
  if (this->ended || this->attempt == nullptr || this->move != nullptr ||
      !this->context.retryBudget.TryTake()) {
    return;
  }
  this->mayHaveRun = true;
  this->lastReason = "the endpoint fell silent";
  this->context.observer.OnAttemptFailed(
    this->call, { this->endpointId, AttemptCause::Silent, this->lastReason, true });
  this->excluded.push_back(this->endpointId);
  this->DropAttempt(DispatchOutcome::Failed);
  this->Dispatch();
}

bool
RelayRun::MayRunAgain() const
{
  return this->call.route->IsRepeatable() && this->sends < this->call.route->attempts;
}

void
RelayRun::NoteFirstByte()
{
  if (!this->dispatch.hasFirstToken) {
    this->context.router.OnToken(this->dispatch);
  }
}

void
RelayRun::NoteBegan()
{
  if (!std::exchange(this->began, true)) {
    this->context.observer.OnBegan(this->call);
  }
}

void
RelayRun::OnHead(const EndpointHead& aHead)
{
  switch (aHead.limit.kind) {
    case LimitStatement::Kind::Limited:
      this->context.limits.OnNamed(this->endpointId, aHead.limit.perSecond);
      break;
    case LimitStatement::Kind::None:
      this->context.limits.OnNoneNamed(this->endpointId);
      break;
    case LimitStatement::Kind::Malformed:
      this->context.limits.OnMalformed(this->endpointId);
      break;
  }
}

void
RelayRun::OnStreamHead(const RelayReply& aHead)
{
  this->NoteFirstByte();
  this->NoteBegan();
  this->mayHaveRun = true;
  // A stream that another endpoint continues keeps the head of its first
  if (!this->streaming) {
    this->streaming = true;
    this->caller->BeginStream(aHead);
  }
}

void
RelayRun::OnStreamEvent(std::string_view aBytes, std::string_view aId)
{
  this->ArmSilence(true);
  this->witness.OnProgress();
  const auto number = EventNumber(aId);
  const auto last = EventNumber(this->lastEventId);
  if (number && last && *number <= *last) {
    return;
  }
  if (!aId.empty()) {
    this->lastEventId = aId;
  }
  ++this->events;
  this->context.router.OnEvent(this->dispatch, this->call.eventTokens);
  this->caller->WriteEvent(aBytes);
}

void
RelayRun::OnAttemptEnd(const AttemptEnd& aEnd)
{
  const std::unique_ptr<RelayAttempt> finished = std::move(this->attempt);
  if (this->move != nullptr && aEnd.outcome != AttemptOutcome::Whole) {
    // The source stops its run before the copy is complete
    this->endedWhileMoved = aEnd;
    return;
  }
  this->move.reset();
  if (aEnd.outcome == AttemptOutcome::Whole) {
    this->NoteFirstByte();
    this->NoteBegan();
    this->context.router.OnFinished(this->dispatch, DispatchOutcome::Completed);
    this->witness.OnWhole();
    this->Succeed(aEnd.reply);
    return;
  }
  this->OnAttemptFailed(aEnd);
}

void
RelayRun::OnAttemptFailed(const AttemptEnd& aEnd)
{
  // A full endpoint is not a broken one
  const bool isRefusal = aEnd.outcome == AttemptOutcome::NotRun && !aEnd.otherOwner;
  this->context.router.OnFinished(this->dispatch,
                                  isRefusal ? DispatchOutcome::Cancelled : DispatchOutcome::Failed);
  const bool provenNotRun =
    aEnd.outcome == AttemptOutcome::NotSent || aEnd.outcome == AttemptOutcome::NotRun;
  this->sends -= aEnd.outcome == AttemptOutcome::NotSent ? 1 : 0;
  this->mayHaveRun = this->mayHaveRun || !provenNotRun;
  this->lastReason = fmt::format("endpoint {}: {}", this->endpointId, aEnd.reason);
  if (aEnd.outcome == AttemptOutcome::Failure) {
    this->NoteBegan();
    this->failure = aEnd.reply;
  }
  this->excluded.push_back(this->endpointId);

  const bool isCallersFault =
    aEnd.outcome == AttemptOutcome::Failure && aEnd.reply.status < kServerError;
  const bool hasAttempts = this->sends < this->call.route->attempts;
  const bool isAllowed =
    hasAttempts && !isCallersFault && (!this->mayHaveRun || this->call.route->IsRepeatable());
  const bool isFree = aEnd.outcome == AttemptOutcome::NotSent;
  const bool goesOn = isAllowed && (isFree || this->context.retryBudget.TryTake());
  this->context.observer.OnAttemptFailed(this->call,
                                         { this->endpointId, aEnd.cause, aEnd.reason, goesOn });
  if (goesOn) {
    this->GoOnAfter(aEnd.cause);
    return;
  }
  if (MayBeCrash(aEnd.cause)) {
    this->witness.OnConnectionLost();
  }
  if (this->failure && !this->streaming) {
    this->Succeed(std::move(*this->failure));
    return;
  }
  if (!this->mayHaveRun) {
    this->Fail(Error(ErrorKind::Overloaded, this->lastReason, Ran::No)
                 .WithRetryAfter(this->context.settings.retryAfterFloor));
    return;
  }
  const bool repeatable = this->call.route->IsRepeatable();
  this->Fail(Error(repeatable ? ErrorKind::EndpointFailed : ErrorKind::OutcomeUnknown,
                   this->lastReason, Ran::Unknown));
}

void
RelayRun::DropAttempt(DispatchOutcome aOutcome)
{
  if (this->attempt != nullptr) {
    this->attempt.reset();
    this->context.router.OnFinished(this->dispatch, aOutcome);
  }
}

void
RelayRun::OnEndpointRestarted()
{
  // Its connection may stay silent for good: who has started anew answers nothing that the life before was sent
  AttemptEnd end;
  end.cause = AttemptCause::Restarted;
  this->witness.OnRestarted();
  end.reason = "the endpoint has started anew";
  this->attempt.reset();
  this->OnAttemptFailed(end);
}

void
RelayRun::OnDue()
{
  this->dueTimer.reset();
  if (this->ended) {
    return;
  }
  const bool wasSent = this->mayHaveRun || this->attempt != nullptr;
  this->move.reset();
  this->DropAttempt(DispatchOutcome::Cancelled);
  this->Fail(Error(ErrorKind::DeadlineExceeded, "No whole answer came in time.",
                   wasSent ? Ran::Unknown : Ran::No));
}

void
RelayRun::CheckCaller()
{
  if (this->ended || !this->caller->IsGone()) {
    return;
  }
  this->move.reset();
  this->DropAttempt(DispatchOutcome::Cancelled);
  this->caller->AbortStream();
  this->End({ 0, false, this->sends, "the caller has gone", this->endpointId });
}

void
RelayRun::Abandon()
{
  if (this->ended) {
    return;
  }
  const bool wasSent = this->mayHaveRun || this->attempt != nullptr;
  this->move.reset();
  this->DropAttempt(DispatchOutcome::Cancelled);
  this->Fail(Error(wasSent ? ErrorKind::EndpointFailed : ErrorKind::Draining,
                   "The daemon ends before the answer.", wasSent ? Ran::Unknown : Ran::No)
               .WithRetryAfter(this->context.settings.retryAfterFloor));
}

void
RelayRun::Succeed(RelayReply aReply)
{
  const int status = aReply.status;
  const bool isWhole = status < 300;
  if (this->streaming) {
    this->caller->EndStream();
  } else {
    this->caller->Answer(std::move(aReply));
  }
  this->End(
    { status, isWhole, this->sends, isWhole ? std::string() : this->lastReason, this->endpointId });
}

void
RelayRun::Fail(const Error& aError)
{
  if (this->streaming) {
    this->caller->AbortStream();
  } else {
    this->caller->Refuse(aError);
  }
  const int status = this->streaming ? 0 : GetErrorRule(aError.kind).httpStatus;
  this->End({ status, false, this->sends, aError.message, this->endpointId });
}

void
RelayRun::End(const RelayEnd& aEnd)
{
  assert(!this->ended);
  this->ended = true;
  this->context.observer.OnEnded(this->call, aEnd);
  this->context.loop.Post(std::move(this->onEnded));
}

} // namespace lagoonward
