#pragma once

#include "Lagoonward/Daemon/EndpointReplicator.h"
#include "Lagoonward/Daemon/LeaderTaskService.h"
#include "Lagoonward/Relay/HttpRelayCaller.h"
#include "Lagoonward/Relay/RelayCall.h"
#include "Lagoonward/Relay/RelayConfiguration.h"

#include <functional>
#include <string_view>

namespace lagoonward {

/// Decodes requests of callers and encodes errors for them, by the functions of one CallerDialect.
struct AnyCallerDialect
{
  std::function<Result<RelayCall>(HttpRequest)> read;
  std::function<RelayReply(const Error&)> writeError;
};

/// Type-erases a dialect, for code that is compiled once for all dialects.
template<CallerDialect Dialect>
[[nodiscard]] AnyCallerDialect
MakeAnyCallerDialect(Dialect aDialect)
{
  return { [aDialect](HttpRequest aRequest) { return aDialect.Read(std::move(aRequest)); },
           [aDialect](const Error& aError) { return aDialect.WriteError(aError); } };
}

/// Dependencies of a relay daemon on the platform: the dialects of callers and endpoints, the decoders of
/// configurations and endpoint records, and the ports of the leader tasks.
struct RelayPorts
{
  AnyCallerDialect callers;
  AnyEndpointDialect endpoints;
  /// Called by one thread at a time.
  std::function<Result<RelayConfiguration>(std::string_view aText)> decodeConfiguration;
  std::function<Result<Endpoint>(const EndpointRecord&)> decodeEndpoint;
  LeaderTaskPorts leaderTasks;
};

} // namespace lagoonward
