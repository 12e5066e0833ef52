#include "Lagoonward/Relay/RelayMove.h"

#include <fmt/format.h>

namespace lagoonward {

namespace {

constexpr std::size_t kMaximumAnswer = 4096;

} // namespace

RelayMove::RelayMove(TrafficLoop& aLoop, const EndpointLanguage& aLanguage, Done aDone)
  : loop(aLoop)
  , language(aLanguage)
  , done(std::move(aDone))
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
  const MoveOrder order = this->language.writeMove(aCall, aDestination);
  HttpTransferRequest request;
  request.method = "POST";
  request.url = fmt::format("http://{}{}", aSource, order.path);
  request.headers = { "Content-Type: application/json", "Accept:" };
  request.body = order.body;
  request.singleSend = true;
  request.timeout = aTimeout;
  this->transfer = this->loop.StartTransfer(request, *this);
}

void
RelayMove::OnBytes(int /*aStatus*/, std::string_view aBytes)
{
  if (this->body.size() + aBytes.size() <= kMaximumAnswer) {
    this->body.append(aBytes);
  }
}

void
RelayMove::OnEnd(const TransferEnd& aEnd)
{
  this->transfer = 0;
  MoveEnd end;
  if (aEnd.outcome == TransferOutcome::Complete) {
    end = this->language.readMove(aEnd.status, this->body);
  } else {
    end.reason = aEnd.message;
  }
  const Done tell = std::move(this->done);
  tell(end);
}

} // namespace lagoonward
