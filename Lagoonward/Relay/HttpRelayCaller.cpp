#include "Lagoonward/Relay/HttpRelayCaller.h"

namespace lagoonward {

HttpRelayCaller::HttpRelayCaller(HttpExchangePtr aExchange, ErrorWriter aWriteError)
  : exchange(std::move(aExchange))
  , writeError(std::move(aWriteError))
{
}

void
HttpRelayCaller::SendResponse(RelayReply aReply)
{
  this->exchange->Respond(aReply.status, std::move(aReply.headers), std::move(aReply.body));
}

void
HttpRelayCaller::SendError(const Error& aError)
{
  this->SendResponse(this->writeError(aError));
}

void
HttpRelayCaller::BeginStream(const RelayReply& aHead)
{
  this->exchange->BeginStream(aHead.status, aHead.headers);
}

void
HttpRelayCaller::WriteEvent(std::string_view aBytes)
{
  this->overrun = this->overrun || !this->exchange->Write(aBytes);
}

void
HttpRelayCaller::EndStream()
{
  if (this->overrun) {
    // Events are missing, which the caller has to notice
    this->exchange->AbortStream();
    return;
  }
  this->exchange->EndStream();
}

void
HttpRelayCaller::AbortStream()
{
  this->exchange->AbortStream();
}

bool
HttpRelayCaller::IsDisconnected()
{
  return this->overrun || this->exchange->IsCallerDisconnected();
}

std::size_t
HttpRelayCaller::HeldBytes()
{
  return this->exchange->HeldBytes();
}

void
HttpRelayCaller::Discard()
{
  this->overrun = true;
  this->exchange->Discard();
}

} // namespace lagoonward
