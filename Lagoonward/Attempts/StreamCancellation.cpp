#include "Lagoonward/Attempts/StreamCancellation.h"

namespace lagoonward {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusRedirect = 300;

} // namespace

StreamCancellation::StreamCancellation(TrafficLoop& aLoop, std::string aUrl, Milliseconds aTimeout,
                                       std::function<void(bool aStopped)> aOnDone)
  : loop(aLoop)
  , url(std::move(aUrl))
  , timeout(aTimeout)
  , onDone(std::move(aOnDone))
{
}

StreamCancellation::~StreamCancellation()
{
  if (this->transfer != 0) {
    this->loop.CancelTransfer(this->transfer);
  }
}

void
StreamCancellation::Start()
{
  HttpTransferRequest request;
  request.method = "DELETE";
  request.url = this->url;
  request.timeout = this->timeout;
  request.freshConnection = true;
  this->transfer = this->loop.StartTransfer(request, *this);
}

void
StreamCancellation::OnBytes(int /*aStatus*/, std::string_view /*aBytes*/)
{
}

void
StreamCancellation::OnEnd(const TransferEnd& aEnd)
{
  this->transfer = 0;
  // A stream that is unknown to the engine may have run to completion there, so 404 is no confirmation
  const bool stopped = aEnd.outcome == TransferOutcome::Complete && aEnd.status >= kStatusOk &&
                       aEnd.status < kStatusRedirect;
  // The callback may destroy this object
  const auto callback = std::move(this->onDone);
  callback(stopped);
}

} // namespace lagoonward
