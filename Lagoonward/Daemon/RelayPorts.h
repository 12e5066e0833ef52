#pragma once

#include "Lagoonward/Daemon/DutyService.h"
#include "Lagoonward/Daemon/EndpointNews.h"
#include "Lagoonward/Relay/ExchangeCaller.h"
#include "Lagoonward/Relay/RelayCall.h"
#include "Lagoonward/Relay/RelayConfiguration.h"

#include <functional>
#include <string_view>

namespace lagoonward {

/// How callers are spoken to, as functions of one CallerDialect.
struct CallerLanguage
{
  std::function<Result<RelayCall>(HttpRequest)> read;
  std::function<RelayReply(const Error&)> writeError;
};

/// Makes a dialect's functions available to code that is compiled once for all dialects.
template<CallerDialect Dialect>
[[nodiscard]] CallerLanguage
CallerLanguageOf(Dialect aDialect)
{
  return { [aDialect](HttpRequest aRequest) { return aDialect.Read(std::move(aRequest)); },
           [aDialect](const Error& aError) { return aDialect.WriteError(aError); } };
}

/// What a relay daemon needs to be told of the outside: who speaks how, and how a configuration reads.
struct RelayPorts
{
  CallerLanguage callers;
  EndpointLanguage endpoints;
  std::function<Result<RelayConfiguration>(std::string_view aText)> decodeConfiguration;
  std::function<Result<Endpoint>(const EndpointRecord&)> decodeEndpoint;
  DutyPorts duties;
};

} // namespace lagoonward
