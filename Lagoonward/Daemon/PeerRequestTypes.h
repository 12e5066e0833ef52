#pragma once

#include "Lagoonward/Membership/PeerTransport.h"

#include <cstdint>

namespace lagoonward {

/// Requests between daemons that this folder defines. A number must not change or be used again, as daemons of two
/// releases talk to each other.
enum class PeerRequest : std::uint16_t
{
  ReadAnswer = 0,
  Demand = 1,
  LoadOfMember = 3,
  LoadOfGroup = 5,
  LimitTokens = 6,
  CrashReport = 7,
  EndpointPermit = 8,
  LimitOverdraft = 9,
  ForwardQuery = 10,
  StreamOrigins = 11,
  StreamOriginQuery = 12,
  EndpointPlace = 13,
  PartCrashReport = 14,
  PoolSlot = 16,
  LimitContinuation = 17,
  EndpointUpdate = 18,
  EndpointQuery = 19,
};

/// The number of the request on the wire.
[[nodiscard]] constexpr RequestType
ToRequestType(PeerRequest aRequest)
{
  return static_cast<RequestType>(static_cast<std::uint16_t>(RequestType::FirstExternal) +
                                  static_cast<std::uint16_t>(aRequest));
}

} // namespace lagoonward
