#include "Lagoonward/Membership/EndpointFact.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lagoonward {

namespace {

constexpr double kFullScale = 255;

/// Differences of up to this many requests are never significant.
constexpr double kCountTolerance = 2;

std::uint16_t
Saturate(std::int64_t aCount)
{
  constexpr std::int64_t kLimit = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(aCount, 0, kLimit));
}

bool
CountsDiffer(double aLeft, double aRight, double aFraction)
{
  return std::abs(aLeft - aRight) > std::max(kCountTolerance, aFraction * std::max(aLeft, aRight));
}

} // namespace

bool
IsNewerSample(std::uint32_t aSampledAt, std::uint32_t aKnownSampledAt)
{
  return static_cast<std::int32_t>(aSampledAt - aKnownSampledAt) > 0;
}

std::uint16_t
ToAgeUnits(std::chrono::nanoseconds aAge)
{
  return Saturate(std::chrono::duration_cast<Milliseconds>(aAge) / kLoadAgeUnit);
}

EndpointLoadUpdate
ToEndpointLoadUpdate(EndpointKey aKey, const EndpointLoad& aLoad, std::chrono::nanoseconds aAge,
                     std::uint32_t aProfile)
{
  EndpointLoadUpdate fact;
  fact.key = aKey;
  fact.asOf = static_cast<std::uint32_t>(ToUnixMilliseconds(aLoad.asOf));
  fact.age = ToAgeUnits(aAge);
  fact.waiting = Saturate(aLoad.waiting);
  fact.running = Saturate(aLoad.running);
  if (aLoad.kvBlocksTotal > 0) {
    const double used =
      static_cast<double>(aLoad.kvBlocksUsed) / static_cast<double>(aLoad.kvBlocksTotal);
    fact.kvUsed = static_cast<std::uint8_t>(std::lround(std::clamp(used, 0.0, 1.0) * kFullScale));
  }
  fact.profile = aProfile;
  return fact;
}

EndpointLoad
ToEndpointLoad(const EndpointLoadUpdate& aFact, const EndpointProfile& aProfile, WallTime aAsOf)
{
  EndpointLoad load;
  load.waiting = aFact.waiting;
  load.running = aFact.running;
  load.kvBlocksTotal = aProfile.kvBlocksTotal;
  load.kvBlocksUsed =
    std::llround(aFact.kvUsed / kFullScale * static_cast<double>(aProfile.kvBlocksTotal));
  load.models = aProfile.models;
  load.role = aProfile.role;
  load.asOf = aAsOf;
  return load;
}

bool
DiffersSignificantly(const EndpointLoadUpdate& aLeft, const EndpointLoadUpdate& aRight,
                     double aFraction)
{
  return aLeft.profile != aRight.profile ||
         CountsDiffer(aLeft.waiting, aRight.waiting, aFraction) ||
         CountsDiffer(aLeft.running, aRight.running, aFraction) ||
         std::abs(aLeft.kvUsed - aRight.kvUsed) > aFraction * kFullScale;
}

bool
Supersedes(const EndpointStateUpdate& aUpdate, const EndpointFact& aKnown)
{
  if (aKnown.state == EndpointState::Leaving) {
    return aUpdate.state == EndpointState::Leaving && aUpdate.graceLeft > 0 &&
           !aKnown.availableUntil;
  }
  return aUpdate.state == EndpointState::Leaving || aUpdate.version > aKnown.stateVersion;
}

bool
IsInitialState(const EndpointFact& aFact)
{
  return aFact.state == EndpointState::Live && aFact.stateVersion == 0;
}

std::uint64_t
StateHash(const EndpointFact& aFact)
{
  // Leaving is final; daemons may have learned it under different versions, so the version is left out
  const std::uint64_t version =
    aFact.state == EndpointState::Leaving ? 0 : std::uint64_t{ aFact.stateVersion };
  return CombineHashes(aFact.key, (version << 8U) | static_cast<std::uint64_t>(aFact.state));
}

} // namespace lagoonward
