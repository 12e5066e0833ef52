#include "Lagoonward/Relay/RelayAttempt.h"

#include <fmt/format.h>

namespace lagoonward {

namespace {

constexpr std::string_view kStatusLine = "HTTP/";
constexpr int kFirstFailure = 300;
constexpr int kMisdirected = 421;

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < kFirstFailure;
}

} // namespace

RelayAttempt::RelayAttempt(TrafficLoop& aLoop, const RelaySettings& aSettings,
                           const EndpointLanguage& aLanguage, const RelayCall& aCall,
                           AttemptListener& aListener)
  : loop(aLoop)
  , settings(aSettings)
  , language(aLanguage)
  , call(aCall)
  , listener(aListener)
  , events(aSettings.maximumEventBytes)
{
}

RelayAttempt::~RelayAttempt()
{
  // Closes the connection, which makes the endpoint stop
  if (this->transfer != 0) {
    this->loop.CancelTransfer(this->transfer);
  }
}

void
RelayAttempt::Start(std::string_view aAddress, const SendTerms& aTerms,
                    std::function<bool()> aMayBeSent)
{
  HttpTransferRequest request;
  request.method = this->call.method;
  request.url = fmt::format("http://{}{}", aAddress, this->call.target);
  request.headers = this->language.writeHeaders(this->call, aTerms);
  request.body = this->call.body;
  // Whether to send again is decided by the run, within its route's limits
  request.singleSend = true;
  request.mayBeSent = std::move(aMayBeSent);
  // The run ends the attempt when its time is over; this is for one that it has lost track of
  request.timeout = aTerms.left + this->settings.attemptMargin;
  this->transfer = this->loop.StartTransfer(request, *this);
}

void
RelayAttempt::OnHeaderLine(std::string_view aLine)
{
  // Interim answers have heads of their own; the last one counts
  if (aLine.starts_with(kStatusLine)) {
    this->headers.clear();
    return;
  }
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos || this->headRead) {
    return;
  }
  std::string_view value = aLine.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
  this->headers.emplace_back(aLine.substr(0, colon), value);
}

void
RelayAttempt::ReadHead(int aStatus)
{
  if (this->headRead) {
    return;
  }
  this->headRead = true;
  this->head = this->language.readHead(this->call, aStatus, this->headers);
  // Who else may have got hold of the address speaks for itself
  const bool isAsked = (this->head.belongs && this->head.genuine) || this->head.notRun;
  if (isAsked && !this->head.otherOwner) {
    this->listener.OnHead(this->head);
  }
}

bool
RelayAttempt::IsOwnSuccess() const
{
  return this->head.belongs && this->head.genuine && !this->head.encoded && !this->head.notRun &&
         IsSuccess(this->head.status);
}

void
RelayAttempt::OnBytes(int aStatus, std::string_view aBytes)
{
  const bool isFirst = !this->headRead;
  this->ReadHead(aStatus);
  if (!this->head.streamsEvents || !this->IsOwnSuccess()) {
    this->unusable =
      this->unusable || this->body.size() + aBytes.size() > this->settings.maximumAnswerBytes;
    if (!this->unusable) {
      this->body.append(aBytes);
    }
    return;
  }
  if (isFirst) {
    this->listener.OnStreamHead({ this->head.status, this->head.headers, {} });
  }
  const bool isUsable =
    this->events.Consume(aBytes, [this](std::string_view aEvent, std::string_view aId) {
      this->listener.OnStreamEvent(aEvent, aId);
    });
  this->unusable = this->unusable || !isUsable;
}

void
RelayAttempt::OnEnd(const TransferEnd& aEnd)
{
  this->transfer = 0;
  this->listener.OnAttemptEnd(this->Judge(aEnd));
}

AttemptEnd
RelayAttempt::Judge(const TransferEnd& aEnd)
{
  AttemptEnd end;
  end.reason = aEnd.message;
  if (aEnd.outcome == TransferOutcome::NotSent) {
    end.outcome = AttemptOutcome::NotSent;
    end.cause = AttemptCause::NoConnection;
    return end;
  }
  if (aEnd.outcome != TransferOutcome::Complete) {
    end.cause =
      aEnd.outcome == TransferOutcome::Broken ? AttemptCause::ConnectionLost : AttemptCause::Silent;
    return end;
  }
  this->ReadHead(aEnd.status);
  end.otherOwner = this->head.otherOwner || aEnd.status == kMisdirected;
  end.reason = fmt::format("status {}", aEnd.status);
  if (this->head.notRun || aEnd.status == kMisdirected) {
    end.outcome = AttemptOutcome::NotRun;
    end.cause = AttemptCause::Refused;
    return end;
  }
  end.cause = AttemptCause::Unusable;
  if (!this->head.belongs || this->head.encoded || this->unusable) {
    end.reason += this->head.belongs ? ", unusable body" : ", answer of another request";
    return end;
  }
  const bool isCutEvent = this->head.streamsEvents && this->events.HasPartialEvent();
  if (IsSuccess(aEnd.status)) {
    end.reason += this->head.genuine ? "" : ", not the endpoint's own";
    end.reason += isCutEvent ? ", ends within an event" : "";
    if (this->head.genuine && !isCutEvent) {
      end.outcome = AttemptOutcome::Whole;
      end.cause = AttemptCause::None;
    }
  } else if (this->head.genuine) {
    end.outcome = AttemptOutcome::Failure;
    end.cause = AttemptCause::Failed;
  }
  end.reply = { aEnd.status, this->head.headers, std::move(this->body) };
  return end;
}

} // namespace lagoonward
