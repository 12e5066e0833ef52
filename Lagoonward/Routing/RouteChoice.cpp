#include "Lagoonward/Routing/RouteChoice.h"

#include <fmt/format.h>

namespace lagoonward {

std::string
RouteChoice::Describe() const
{
  constexpr double kMillis = 1000;
  const RoutingTarget& target = this->Target();
  return fmt::format(
    "endpoint {} in {} of {} scored: first token {:.0f} ms, between tokens {:.1f} ms, {} tokens "
    "cached; cost {:.3g} = prefill {:.3g} + decode {:.3g} + miss {:.3g} + reclaim {:.3g} + "
    "recompute {:.3g} + "
    "locality {:.3g} + latency {:.3g} + slow start {:.3g}",
    target.id, this->table->FailureDomains()[target.failureDomain], this->scoredEndpoints,
    this->firstTokenSeconds * kMillis, this->betweenTokensSeconds * kMillis, this->cachedTokens,
    this->cost.Total(), this->cost.prefill, this->cost.decode, this->cost.miss, this->cost.reclaim,
    this->cost.recompute, this->cost.locality, this->cost.latency, this->cost.slowStart);
}

} // namespace lagoonward
