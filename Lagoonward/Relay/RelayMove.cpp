#include "Lagoonward/Relay/RelayMove.h"

#include <fmt/format.h>

namespace lagoonward {

namespace {

constexpr std::size_t kMaximumResponseBytes = 4096;

constexpr int kServiceUnavailable = 503;

} // namespace

RelayMove::RelayMove(TrafficLoop& aLoop, const AnyEndpointDialect& aDialect, DoneCallback aOnDone)
  : loop(aLoop)
  , dialect(aDialect)
  , onDone(std::move(aOnDone))
{
}

RelayMove::~RelayMove()
{
  if (this->transfer != 0) {
    this->loop.CancelTransfer(this->transfer);
  }
}

void
RelayMove::Start(const RelayCall& aCall, std::string_view aSource, std::string_view aDestination,
                 Milliseconds aTimeout)
{
  const MoveRequest request = this->dialect.writeMove(aCall, aDestination);
  HttpTransferRequest transferRequest;
  transferRequest.method = "POST";
  transferRequest.url = fmt::format("http://{}{}", aSource, request.path);
  transferRequest.headers = { "Content-Type: application/json", "Accept:" };
  transferRequest.body = request.body;
  // The reply names no request, so no late reply to an earlier one may be on the connection
  transferRequest.freshConnection = true;
  transferRequest.singleSend = true;
  transferRequest.timeout = aTimeout;
  // May be called after this object has gone, until its transfer is cancelled
  transferRequest.mayBeSent = [sent = this->mayHaveBeenSent] { return *sent = true; };
  this->transfer = this->loop.StartTransfer(transferRequest, *this);
}

void
RelayMove::OnBytes(int /*aStatus*/, std::string_view aBytes)
{
  if (this->body.size() + aBytes.size() > kMaximumResponseBytes) {
    this->loop.StopTransfer(this->transfer);
    return;
  }
  this->body.append(aBytes);
}

void
RelayMove::OnEnd(const TransferEnd& aEnd)
{
  this->transfer = 0;
  MoveResult end;
  if (aEnd.outcome == TransferOutcome::Complete) {
    end = this->dialect.readMove(aEnd.status, this->body);
    if (aEnd.status == kServiceUnavailable && aEnd.bodyEnd == BodyEnd::Connection &&
        this->body.empty()) {
      // The connection may have ended before the body, which would name the state of a stopped run
      end.stopState = StopState::Unknown;
    }
  } else {
    end.reason = aEnd.message;
    const bool isUnsent = aEnd.outcome == TransferOutcome::NotSent;
    end.stopState = isUnsent ? StopState::NotStopped : StopState::Unknown;
  }
  const DoneCallback callback = std::move(this->onDone);
  callback(end);
}

} // namespace lagoonward
