#include "Lagoonward/Relay/RelayRun.h"

#include "Lagoonward/Relay/PromptBlocks.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace lagoonward {

namespace {

constexpr int kServerError = 500;

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
