#include "Bench/SyntheticLoads.h"

#include <cmath>

namespace lagoonward::bench {

SyntheticLoads::SyntheticLoads(const Clock& aClock, SyntheticLoadSettings aSettings)
  : clock(aClock)
  , settings(aSettings)
  , random(aSettings.seed)
{
}

EndpointLoad
SyntheticLoads::Read(const std::string& aEndpointId)
{
  const TimePoint now = this->clock.Now();
  int running = 0;
  {
    const std::lock_guard lock(this->mutex);
    const double mean = this->settings.arrivalsPerSecond * this->settings.secondsPerRequest;
    const auto found = this->states.find(aEndpointId);
    if (found == this->states.end()) {
      running = std::poisson_distribution<int>(mean)(this->random);
    } else {
      // Some requests have completed since the last read and others have started
      const double elapsed = std::chrono::duration<double>(now - found->second.readAt).count();
      const double survivalProbability = std::exp(-elapsed / this->settings.secondsPerRequest);
      running =
        std::binomial_distribution<int>(found->second.running, survivalProbability)(this->random) +
        std::poisson_distribution<int>(mean * (1 - survivalProbability) + 1e-9)(this->random);
    }
    this->states[aEndpointId] = { running, now };
  }
  EndpointLoad load;
  load.running = running;
  load.kvBlocksUsed = running * this->settings.kvBlocksPerRequest;
  load.kvBlocksTotal = this->settings.kvBlocksTotal;
  load.role = "decode";
  load.models = { { "permit-model", "3", { { "vestland", "7" }, { "norte", "2" } } },
                  { "tax-model", "5", {} } };
  load.asOf = this->clock.WallNow();
  return load;
}

} // namespace lagoonward::bench
