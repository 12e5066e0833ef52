#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Fleet/Endpoint.h"

#include <mutex>
#include <random>
#include <string>
#include <unordered_map>

namespace lagoonward::bench {

/// Load model of the simulated endpoints: Poisson arrivals and exponential service times.
struct SyntheticLoadSettings
{
  double arrivalsPerSecond = 4.3; ///< Per endpoint: 3,800 requests per second over 880 endpoints.
  double secondsPerRequest = 9.3; ///< Mean; gives 40 running requests on average.
  std::int64_t kvBlocksPerRequest = 60;
  std::int64_t kvBlocksTotal = 4096;
  std::uint64_t seed = 1;
};

/// Loads of simulated endpoints. The number of running requests of each endpoint follows random arrivals
/// and completions, so that loads change between reads as much as in a busy fleet. Thread-safe.
class SyntheticLoads
{
public:
  SyntheticLoads(const Clock& aClock, SyntheticLoadSettings aSettings);

  /// The endpoint's load at the clock's current time.
  [[nodiscard]] EndpointLoad Read(const std::string& aEndpointId);

private:
  struct State
  {
    int running = 0;
    TimePoint readAt;
  };

  const Clock& clock;
  SyntheticLoadSettings settings;
  std::mutex mutex;
  std::mt19937_64 random; ///< Guarded by mutex, as are the states.
  std::unordered_map<std::string, State> states;
};

} // namespace lagoonward::bench
