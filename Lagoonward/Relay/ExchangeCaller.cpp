#include "Lagoonward/Relay/ExchangeCaller.h"

namespace lagoonward {

ExchangeCaller::ExchangeCaller(HttpExchangePtr aExchange, ErrorWriter aWriteError)
  : exchange(std::move(aExchange))
  , writeError(std::move(aWriteError))
{
}

void
ExchangeCaller::Answer(RelayReply aReply)
{
  this->exchange->Respond(aReply.status, std::move(aReply.headers), std::move(aReply.body));
}

void
ExchangeCaller::Refuse(const Error& aError)
{
  this->Answer(this->writeError(aError));
}

void
ExchangeCaller::BeginStream(const RelayReply& aHead)
{
  this->exchange->BeginStream(aHead.status, aHead.headers);
}

void
ExchangeCaller::WriteEvent(std::string_view aBytes)
{
  this->overrun = this->overrun || !this->exchange->Write(aBytes);
}

void
ExchangeCaller::EndStream()
{
  this->exchange->EndStream();
}

void
ExchangeCaller::AbortStream()
{
  this->exchange->AbortStream();
}

bool
ExchangeCaller::IsGone()
{
  return this->overrun || this->exchange->IsCallerGone();
}

} // namespace lagoonward
