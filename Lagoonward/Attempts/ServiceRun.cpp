#include "Lagoonward/Attempts/ServiceRun.h"

#include "Lagoonward/Core/StringMemory.h"

#include <strings.h>

#include <algorithm>

namespace lagoonward {

namespace {

/// Limit of the doublings of the timeout of an idempotent call.
constexpr int kMaximumTimeoutDoublings = 5;
constexpr std::string_view kContentType = "content-type:";

} // namespace

ServiceRun::ServiceRun(const RunContext& aContext, ServiceCall aCall, AnswerPtr aAnswer,
                       std::function<void()> aOnEnded)
  : context(aContext)
  , call(std::move(aCall))
  , answer(std::move(aAnswer))
  , report(aContext, this->call.terms, this->answer, std::move(aOnEnded))
  , crashTracker(this->call.terms.Fingerprint(), aContext.poison, aContext.crashProbe,
                 aContext.fleet, aContext.loop.GetClock())
{
}

ServiceRun::~ServiceRun()
{
  if (this->transfer != 0) {
    this->context.loop.CancelTransfer(this->transfer);
  }
  if (this->deadlineTimer) {
    this->context.loop.CancelTimer(*this->deadlineTimer);
  }
  if (this->backoffTimer) {
    this->context.loop.CancelTimer(*this->backoffTimer);
  }
}

void
ServiceRun::Start()
{
  ++this->context.counters.accepted;
  const TimePoint now = this->context.loop.GetClock().Now();
  const auto untilDeadline = std::chrono::ceil<Milliseconds>(this->call.terms.deadline - now);
  this->deadlineTimer = this->context.loop.RunAfter(std::max(untilDeadline, Milliseconds(0)),
                                                    [this] { this->OnDeadline(); });
  this->Dispatch();
}

void
ServiceRun::OnHeaderLine(std::string_view aLine)
{
  if (aLine.size() <= kContentType.size() ||
      strncasecmp(aLine.data(), kContentType.data(), kContentType.size()) != 0) {
    return;
  }
  std::string_view value = aLine.substr(kContentType.size());
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  this->reply.contentType = value;
}

void
ServiceRun::OnBytes(int /*aStatus*/, std::string_view aBytes)
{
  if (this->reply.body.size() + aBytes.size() > this->context.settings.maximumServiceReplyBytes) {
    this->Stop("The service's answer is larger than the limit for relayed answers.");
    return;
  }
  static_cast<void>(this->replyMemory->Append(this->reply.body, aBytes));
}

void
ServiceRun::Stop(std::string aReason)
{
  this->stopReason = std::move(aReason);
  FreeString(this->reply.body);
  this->context.loop.StopTransfer(this->transfer);
}

void
ServiceRun::OnEnd(const TransferEnd& aEnd)
{
  this->transfer = 0;
  this->replyMemory.reset();
  if (!this->stopReason.empty()) {
    this->context.router.OnFinished(this->dispatch, DispatchOutcome::Failed);
    this->Fail(Error(ErrorKind::EndpointFailed, this->stopReason, Ran::Yes));
    return;
  }
  if (aEnd.outcome != TransferOutcome::Complete) {
    this->OnAttemptFailed(aEnd);
    return;
  }
  this->reply.status = aEnd.status;
  this->context.router.OnToken(this->dispatch);
  this->context.router.OnFinished(this->dispatch, DispatchOutcome::Completed);
  this->report.RecordDecision(fmt::format("answered by endpoint {} with status {}, {} bytes.",
                                          this->endpointId, aEnd.status, this->reply.body.size()));
  this->crashTracker.OnRequestCompleted();
  this->report.SettleSuccess();
  this->answer->FinishService(std::move(this->reply));
  this->report.Announce(this->endpointId, {}, true);
  this->End();
}

void
ServiceRun::Dispatch()
{
  this->backoffTimer.reset();
  if (this->ended) {
    return;
  }
  if (this->crashTracker.IsPoisoned()) {
    this->Fail(RunCrashTracker::PoisonError(this->mayHaveRun ? Ran::Unknown : Ran::No));
    return;
  }
  const std::vector<std::string_view> excludedViews(this->excludedEndpoints.begin(),
                                                    this->excludedEndpoints.end());
  RouteRequest request;
  request.service = this->call.service;
  request.priority = this->call.terms.callClass.priority;
  request.firstToken = this->call.terms.callClass.firstToken;
  request.deadline = this->attemptCount == 0 ? this->call.terms.deadline : TimePoint::max();
  request.expectedOutputTokens = 1;
  request.excludedEndpoints = excludedViews;
  request.objective = this->call.terms.objective;
  auto choice = this->context.router.Choose(request);
  if (choice) {
    this->BeginAttempt(choice.value(), request);
    return;
  }
  if (this->attemptCount == 0) {
    this->Fail(choice.error());
    return;
  }
  this->excludedEndpoints.clear();
  this->DispatchAfterBackoff();
}

void
ServiceRun::BeginAttempt(const RouteChoice& aChoice, const RouteRequest& aRequest)
{
  const FleetSnapshotPtr fleet = this->context.fleet.Get();
  const Endpoint* endpoint = fleet->Find(aChoice.Target().id);
  if (endpoint == nullptr) {
    this->DispatchAfterBackoff();
    return;
  }
  if (this->call.terms.claim != nullptr && !this->call.terms.claim->BeginDispatch()) {
    this->Fail(
      Error(ErrorKind::ClaimUnavailable, "The claim was too old to be dispatched.", Ran::No));
    return;
  }
  ++this->attemptCount;
  ++this->context.counters.attempts;
  this->endpointId = endpoint->id;
  this->crashTracker.OnSent(*endpoint);
  this->dispatch = this->context.router.OnDispatched(aChoice, aRequest);
  this->report.Announce(this->endpointId, {}, false);
  this->report.RecordDecision("dispatched to " + aChoice.Describe());

  this->reply = ServiceReply{};
  this->stopReason.clear();
  this->replyMemory.emplace(this->context.responseMemory, this->endpointId, [this] {
    this->Stop("The service's answer was " + this->context.responseMemory.EvictionReason() + ".");
  });
  HttpTransferRequest request;
  request.method = "POST";
  request.url = fmt::format("http://{}:{}{}", endpoint->address, endpoint->port, this->call.path);
  request.headers = { "Content-Type: " + this->call.contentType,
                      "Lagoonward-Request-Id: " + this->call.terms.requestId, "Connection: close" };
  if (!this->call.terms.idempotencyKey.empty()) {
    request.headers.push_back("Idempotency-Key: " + this->call.terms.idempotencyKey);
  }
  request.body = this->call.body;
  // The reply names no call, so no late reply to an earlier one may be on the connection. Besides, libcurl sends a
  // request again by itself if a reused connection turns out to be closed
  request.freshConnection = true;
  // A connection without data does not show that the service failed, so an idempotent call uses another connection
  if (this->call.terms.idempotent) {
    const int doublings = std::min(this->attemptCount - 1, kMaximumTimeoutDoublings);
    request.timeout = this->context.settings.serviceSilenceTimeout * (1 << doublings);
  }
  this->transfer = this->context.loop.StartTransfer(request, *this);
}

void
ServiceRun::OnAttemptFailed(const TransferEnd& aEnd)
{
  const bool timedOut = aEnd.outcome == TransferOutcome::TimedOut;
  this->context.router.OnFinished(this->dispatch,
                                  timedOut ? DispatchOutcome::Cancelled : DispatchOutcome::Failed);
  this->report.RecordDecision(fmt::format("attempt {} at endpoint {} failed: {}.",
                                          this->attemptCount, this->endpointId, aEnd.message));
  const bool provenNotSent = aEnd.outcome == TransferOutcome::NotSent;
  this->mayHaveRun = this->mayHaveRun || !provenNotSent;
  const bool connectionLost = aEnd.outcome == TransferOutcome::Broken;
  if (!provenNotSent && !this->call.terms.idempotent) {
    if (connectionLost) {
      this->crashTracker.OnConnectionLost();
    }
    this->Fail(Error(ErrorKind::OutcomeUnknown,
                     "The service failed after the call was sent; it is not sent again.",
                     Ran::Unknown));
    return;
  }
  // An endpoint that timed out may be chosen again, on a new connection; one that failed is excluded
  if (!timedOut) {
    this->excludedEndpoints.push_back(this->endpointId);
  }
  if (connectionLost) {
    this->crashTracker.OnConnectionLost([this] { this->Retry(); });
  } else {
    this->Retry();
  }
}

void
ServiceRun::Retry()
{
  if (this->ended) {
    return;
  }
  ++this->context.counters.retries;
  if (this->context.retryBudget.TryConsume()) {
    this->Dispatch();
  } else {
    this->DispatchAfterBackoff();
  }
}

void
ServiceRun::DispatchAfterBackoff()
{
  const AttemptSettings& settings = this->context.settings;
  this->backoff = std::clamp(this->backoff * 2, settings.initialBackoff, settings.maximumBackoff);
  this->backoffTimer = this->context.loop.RunAfter(this->backoff, [this] { this->Dispatch(); });
}

void
ServiceRun::OnDeadline()
{
  this->deadlineTimer.reset();
  if (this->ended) {
    return;
  }
  const bool unknown = this->mayHaveRun || this->transfer != 0;
  if (this->transfer != 0) {
    this->context.loop.CancelTransfer(this->transfer);
    this->transfer = 0;
    this->replyMemory.reset();
    this->context.router.OnFinished(this->dispatch, DispatchOutcome::Failed);
  }
  this->Fail(Error(ErrorKind::DeadlineExceeded, "The deadline passed before the service answered.",
                   unknown ? Ran::Unknown : Ran::No));
}

void
ServiceRun::Fail(const Error& aError)
{
  this->report.SettleFailure(aError);
  this->End();
}

void
ServiceRun::End()
{
  this->ended = true;
  this->report.NotifyEnded();
}

} // namespace lagoonward
