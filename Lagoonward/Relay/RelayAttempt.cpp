#include "Lagoonward/Relay/RelayAttempt.h"

#include "Lagoonward/Core/StringMemory.h"
#include "Lagoonward/Wire/HttpHeaderLine.h"

#include <fmt/format.h>

#include <utility>

namespace lagoonward {

namespace {

constexpr int kFirstNonSuccessStatus = 300;
constexpr int kMisdirectedRequest = 421;
constexpr std::size_t kLoggedStatusLineBytes = 100;

/// Memory of a header line beside its text, in this class and in libcurl.
constexpr std::size_t kHeaderLineOverhead = 256;

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < kFirstNonSuccessStatus;
}

} // namespace

RelayAttempt::RelayAttempt(TrafficLoop& aLoop, const RelaySettings& aSettings,
                           const AnyEndpointDialect& aDialect, PathMonitor& aPath,
                           ResponseMemory& aResponseMemory, const RelayCall& aCall,
                           AttemptListener& aListener)
  : loop(aLoop)
  , settings(aSettings)
  , dialect(aDialect)
  , path(aPath)
  , responseMemory(aResponseMemory)
  , call(aCall)
  , listener(aListener)
  , events(aSettings.maximumEventBytes)
  , embeddedHeads(aDialect, aCall)
{
}

RelayAttempt::~RelayAttempt()
{
  // Cancelling closes the connection, which makes the endpoint stop the request
  if (this->transfer != 0) {
    this->loop.CancelTransfer(this->transfer);
    this->path.OnEnded();
  }
}

void
RelayAttempt::Start(std::string_view aAddress, const SendOptions& aTerms,
                    std::function<bool()> aMayBeSent)
{
  HttpTransferRequest request;
  request.method = this->call.method;
  request.url = fmt::format("http://{}{}", aAddress, this->call.target);
  request.headers = this->dialect.writeHeaders(this->call, aTerms);
  request.body = this->call.body;
  // RelayRun decides about retries, within the limits of the route
  request.singleSend = true;
  request.freshConnection = aTerms.wasSentBefore || aTerms.needsOwnConnection;
  request.closesConnection = aTerms.needsOwnConnection;
  request.mayBeSent = std::move(aMayBeSent);
  // RelayRun cancels the attempt at its deadline; this later timeout only ends attempts that it failed to cancel
  request.timeout = aTerms.remainingTime + this->settings.attemptTimeoutMargin;
  this->transfer = this->loop.StartTransfer(request, *this);
  this->endpointId = aTerms.endpointId;
  this->memory.emplace(this->responseMemory, this->endpointId, [this] { this->OnEvicted(); });
  this->path.OnSent();
}

void
RelayAttempt::OnHeaderLine(std::string_view aLine)
{
  this->path.OnBytes();
  this->headBytes += aLine.size() + kHeaderLineOverhead;
  if (!this->UpdateMemory()) {
    return;
  }
  // Only the last head counts
  if (IsStatusLine(aLine)) {
    this->headers.clear();
    this->trace.statusLine = aLine.substr(0, kLoggedStatusLineBytes);
    return;
  }
  auto header = ParseHeaderLine(aLine);
  if (header) {
    (this->headRead ? this->trailers : this->headers).push_back(std::move(*header));
  }
}

void
RelayAttempt::OnHeadComplete(const TransferHead& aHead)
{
  this->headRead = true;
  this->head = this->dialect.readHead(this->call, aHead.status, this->headers);
  // An endpoint may send an extra response late. On a reused connection, one that does not name this request may belong
  // to an earlier one
  const bool isUnnamed = !this->head.matchesRequest && !this->head.namesOtherRequest;
  const bool isResponse = this->head.matchesRequest || (isUnnamed && aHead.isFirstOnConnection);
  this->provenNotRun = isResponse && this->IsRejection();
  // Another server may use the address now; its limits must not be applied to the target endpoint
  const bool isFromTarget =
    (this->head.matchesRequest && this->head.isMarked) || (this->provenNotRun && this->head.notRun);
  if (isFromTarget && !this->IsMisdirected()) {
    this->listener.OnHead(this->head);
  }
  this->isForeign = !isResponse;
  if (!this->head.matchesRequest) {
    // The response to this request may still follow, and must not be taken for that to the next one
    this->Stop(isUnnamed ? "response names no request" : "response names another request");
  }
}

void
RelayAttempt::Stop(std::string aReason)
{
  if (this->stopReason.empty()) {
    this->stopReason = std::move(aReason);
  }
  this->loop.StopTransfer(this->transfer);
}

bool
RelayAttempt::UpdateMemory()
{
  return this->memory->Set(this->headBytes + HeapBytes(this->body) + this->events.HeldBytes());
}

void
RelayAttempt::OnEvicted()
{
  // The unfinished event is freed at the end of the attempt, as the splitter may be the caller
  FreeString(this->body);
  this->Stop(this->responseMemory.EvictionReason());
}

bool
RelayAttempt::IsMisdirected() const
{
  return this->head.addressReassigned || this->head.status == kMisdirectedRequest;
}

bool
RelayAttempt::IsRejection() const
{
  return this->head.notRun || this->IsMisdirected();
}

bool
RelayAttempt::IsGenuineSuccess() const
{
  return this->head.matchesRequest && this->head.isMarked && !this->head.bodyEncoded &&
         !this->head.notRun && IsSuccess(this->head.status);
}

void
RelayAttempt::OnBytes(int /*aStatus*/, std::string_view aBytes)
{
  this->path.OnBytes();
  if (this->ForwardsEvents()) {
    this->ForwardEvents(aBytes);
  } else {
    this->AppendToBody(aBytes);
  }
}

bool
RelayAttempt::ForwardsEvents() const
{
  return this->call.route->kind == RelayKind::Stream && this->head.streamsEvents &&
         this->IsGenuineSuccess();
}

void
RelayAttempt::AppendToBody(std::string_view aBytes)
{
  const std::size_t limit = this->settings.maximumResponseBytes;
  if (this->body.size() + aBytes.size() > limit) {
    this->Stop(fmt::format("body exceeds {} bytes", limit));
    return;
  }
  static_cast<void>(this->memory->Append(this->body, aBytes));
}

void
RelayAttempt::ForwardEvents(std::string_view aBytes)
{
  if (!std::exchange(this->bodyBegun, true)) {
    this->listener.OnStreamHead({ this->head.status, this->head.headers, {} });
  }
  const bool isValid =
    this->events.Consume(aBytes, [this](std::string_view aEvent, std::string_view aId) {
      this->ForwardEvent(aEvent, aId);
    });
  if (!isValid) {
    this->Stop(fmt::format("unfinished event exceeds {} bytes", this->settings.maximumEventBytes));
    return;
  }
  static_cast<void>(this->UpdateMemory());
}

void
RelayAttempt::ForwardEvent(std::string_view aEvent, std::string_view aId)
{
  if (this->stopReason.empty() && this->embeddedHeads.IsInEvent(aEvent)) {
    this->Stop("event holds the head of another response");
  }
  if (this->stopReason.empty()) {
    this->listener.OnStreamEvent(aEvent, aId);
  }
}

bool
RelayAttempt::HoldsOtherHead() const
{
  const EndpointHead trailerHead =
    this->dialect.readHead(this->call, this->head.status, this->trailers);
  return trailerHead.matchesRequest || trailerHead.namesOtherRequest ||
         this->embeddedHeads.IsInBody(this->body);
}

void
RelayAttempt::OnEnd(const TransferEnd& aEnd)
{
  this->transfer = 0;
  // The listener accounts for what it keeps
  this->memory.reset();
  this->path.OnEnded();
  const bool isUnreachable = aEnd.outcome == TransferOutcome::NotSent && !aEnd.isWithheld;
  if (isUnreachable || aEnd.outcome == TransferOutcome::TimedOut) {
    this->path.OnUnreachable(this->endpointId);
  }
  this->listener.OnAttemptEnd(this->Classify(aEnd));
}

AttemptResult
RelayAttempt::Classify(const TransferEnd& aEnd)
{
  AttemptResult end;
  end.response = std::move(this->trace);
  end.reason = aEnd.message;
  end.isForeign = this->isForeign || aEnd.hasMalformedHead;
  if (aEnd.outcome == TransferOutcome::NotSent) {
    end.outcome = AttemptOutcome::NotSent;
    end.cause = aEnd.isWithheld ? AttemptCause::Withheld : AttemptCause::NoConnection;
    return end;
  }
  end.response.onReusedConnection = !aEnd.isFirstOnConnection;
  end.response.bodyEnd = aEnd.bodyEnd;
  const bool isRead =
    aEnd.outcome == TransferOutcome::Complete || aEnd.outcome == TransferOutcome::Stopped;
  // The head is enough to show that it has not run
  if ((isRead || aEnd.isLengthUnknown) && this->provenNotRun) {
    end.outcome = AttemptOutcome::NotRun;
    end.cause = AttemptCause::Refused;
    end.addressReassigned = this->IsMisdirected();
    end.reason = fmt::format("status {}", aEnd.status);
    return end;
  }
  if (!isRead) {
    end.cause = aEnd.outcome == TransferOutcome::Broken ? AttemptCause::ConnectionLost
                                                        : AttemptCause::TimedOut;
    return end;
  }
  end.reason = fmt::format("status {}", aEnd.status);
  end.cause = AttemptCause::InvalidResponse;
  if (aEnd.outcome == TransferOutcome::Stopped) {
    end.reason += ", " + (this->stopReason.empty() ? aEnd.message : this->stopReason);
    return end;
  }
  if (!this->head.matchesRequest || this->head.bodyEncoded) {
    end.reason += this->head.bodyEncoded ? ", body has a content encoding"
                                         : ", response does not name this request";
    return end;
  }
  if (this->HoldsOtherHead()) {
    end.reason += ", content holds the head of another response";
    return end;
  }
  const bool isTruncated = this->events.HasPartialEvent();
  if (IsSuccess(aEnd.status)) {
    end.reason += this->head.isMarked ? "" : ", not marked as the endpoint's own response";
    end.reason += isTruncated ? ", stream ended within an event" : "";
    if (this->head.isMarked && !isTruncated) {
      end.outcome = AttemptOutcome::Success;
      end.cause = AttemptCause::None;
    }
  } else if (this->head.isMarked) {
    end.outcome = AttemptOutcome::Failure;
    end.cause = AttemptCause::Failed;
  }
  end.isEventStream = this->ForwardsEvents();
  end.reply = { aEnd.status, this->head.headers, std::move(this->body) };
  return end;
}

} // namespace lagoonward
