#include "Lagoonward/Membership/EndpointFact.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lagoonward {

namespace {

constexpr double kFullShare = 255;

/// Differences up to this many requests are never material.
constexpr double kSmallCount = 2;

std::uint16_t
Saturate(std::int64_t aCount)
{
  constexpr std::int64_t kLimit = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(aCount, 0, kLimit));
}

bool
CountsDiffer(double aLeft, double aRight, double aShare)
{
  return std::abs(aLeft - aRight) > std::max(kSmallCount, aShare * std::max(aLeft, aRight));
}

} // namespace

bool
IsNewerReading(std::uint32_t aReading, std::uint32_t aKnown)
{
  return static_cast<std::int32_t>(aReading - aKnown) > 0;
}

std::uint16_t
ToAgeUnits(std::chrono::nanoseconds aAge)
{
  return Saturate(std::chrono::duration_cast<Milliseconds>(aAge) / kAgeUnit);
}

LoadFact
ToLoadFact(EndpointKey aKey, const EndpointLoad& aLoad, std::chrono::nanoseconds aAge,
           std::uint32_t aProfile)
{
  LoadFact fact;
  fact.key = aKey;
  fact.asOf = static_cast<std::uint32_t>(ToUnixMilliseconds(aLoad.asOf));
  fact.age = ToAgeUnits(aAge);
  fact.waiting = Saturate(aLoad.waiting);
  fact.running = Saturate(aLoad.running);
  if (aLoad.kvBlocksTotal > 0) {
    const double used =
      static_cast<double>(aLoad.kvBlocksUsed) / static_cast<double>(aLoad.kvBlocksTotal);
    fact.kvUsed = static_cast<std::uint8_t>(std::lround(std::clamp(used, 0.0, 1.0) * kFullShare));
  }
  fact.profile = aProfile;
  return fact;
}

EndpointLoad
ToEndpointLoad(const LoadFact& aFact, const EndpointProfile& aProfile, WallTime aAsOf)
{
  EndpointLoad load;
  load.waiting = aFact.waiting;
  load.running = aFact.running;
  load.kvBlocksTotal = aProfile.kvBlocksTotal;
  load.kvBlocksUsed =
    std::llround(aFact.kvUsed / kFullShare * static_cast<double>(aProfile.kvBlocksTotal));
  load.models = aProfile.models;
  load.role = aProfile.role;
  load.asOf = aAsOf;
  return load;
}

bool
DiffersMaterially(const LoadFact& aLeft, const LoadFact& aRight, double aShare)
{
  return aLeft.profile != aRight.profile || CountsDiffer(aLeft.waiting, aRight.waiting, aShare) ||
         CountsDiffer(aLeft.running, aRight.running, aShare) ||
         std::abs(aLeft.kvUsed - aRight.kvUsed) > aShare * kFullShare;
}

bool
Overrules(const StateFact& aNews, const EndpointFact& aKnown)
{
  if (aKnown.state == EndpointState::Leaving) {
    return aNews.state == EndpointState::Leaving && aNews.graceLeft > 0 && !aKnown.goneAfter;
  }
  return aNews.state == EndpointState::Leaving || aNews.version > aKnown.stateVersion;
}

bool
IsPlain(const EndpointFact& aFact)
{
  return aFact.state == EndpointState::Live && aFact.stateVersion == 0;
}

std::uint64_t
StateHash(const EndpointFact& aFact)
{
  // Leaving is final, whatever the version under which each daemon learned it
  const std::uint64_t version =
    aFact.state == EndpointState::Leaving ? 0 : std::uint64_t{ aFact.stateVersion };
  return CombineHashes(aFact.key, (version << 8U) | static_cast<std::uint64_t>(aFact.state));
}

} // namespace lagoonward
