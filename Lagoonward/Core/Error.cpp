#include "Lagoonward/Core/Error.h"

#include <nlohmann/json.hpp>

namespace lagoonward {

Error::Error()
  : Error(ErrorKind::Internal, {})
{
}

Error::Error(ErrorKind aKind, std::string aMessage)
  : Error(aKind, std::move(aMessage), GetErrorRule(aKind).ran)
{
}

Error::Error(ErrorKind aKind, std::string aMessage, Ran aRan)
  : kind(aKind)
  , message(std::move(aMessage))
  , ran(aRan)
{
}

Error
Error::WithRetryAfter(Milliseconds aDelay) const
{
  Error copy = *this;
  copy.retryAfter = aDelay;
  return copy;
}

std::string
Error::ToJson() const
{
  const nlohmann::json body{ { "error",
                               { { "kind", GetErrorRule(this->kind).name },
                                 { "message", this->message },
                                 { "ran", ToString(this->ran) } } } };
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lagoonward
