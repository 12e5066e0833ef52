#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Fleet/Endpoint.h"

#include <mutex>
#include <random>
#include <string>
#include <unordered_map>

namespace lagoonward::bench {

/// How the made-up endpoints behave: requests arrive at random and stay for a while.
struct SyntheticLoadSettings
{
  double arrivalsPerSecond = 4.3; ///< Per endpoint: 3,800 requests a second over 880.
  double secondsPerRequest = 9.3; ///< Gives 40 running on average.
  std::int64_t kvBlocksPerRequest = 60;
  std::int64_t kvBlocksTotal = 4096;
  std::uint64_t seed = 1;
};

/// Loads of endpoints that exist only in the bench. Each is a queue of requests that come and go, so
/// that readings change as much as those of a busy fleet. Safe from any thread.
class SyntheticLoads
{
public:
  SyntheticLoads(const Clock& aClock, SyntheticLoadSettings aSettings);

  /// The endpoint's load now.
  [[nodiscard]] EndpointLoad Read(const std::string& aEndpointId);

private:
  struct State
  {
    int running = 0;
    TimePoint at;
  };

  const Clock& clock;
  SyntheticLoadSettings settings;
  std::mutex mutex;
  std::mt19937_64 random; ///< Guarded by mutex, like the states.
  std::unordered_map<std::string, State> states;
};

} // namespace lagoonward::bench
