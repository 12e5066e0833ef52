#include "Bench/Decisions/Tuning.h"

#include <charconv>
#include <string>

namespace lagoonward::bench {

bool
Tuning::Set(std::string_view aText)
{
  const std::size_t equals = aText.find('=');
  if (equals == std::string_view::npos) {
    return false;
  }
  const std::string_view name = aText.substr(0, equals);
  const std::string_view text = aText.substr(equals + 1);
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return false;
  }
  if (name == "cost_weight") {
    this->costWeight = value;
    return true;
  }
  struct Entry
  {
    std::string_view name;
    double* value;
  };
  if (name == "full_scan" || name == "sample") {
    (name == "sample" ? this->routing.sampleSize : this->routing.fullScanLimit) =
      static_cast<std::size_t>(value);
    return true;
  }
  const Entry entries[] = {
    { "learning_rate", &this->routing.speed.learningRate },
    { "sequences", &this->routing.speed.sequences },
    { "spread", &this->routing.spread },
    { "miss_engine_seconds", &this->routing.missEngineSeconds },
    { "lateness", &this->routing.overdueWeight },
    { "miss_rank_factor", &this->routing.missRankFactor },
    { "packing", &this->routing.packing },
    { "packing_power", &this->routing.packingPower },
    { "home_pull", &this->routing.homeAffinity },
    { "reserved_share", &this->routing.reservedFraction },
    { "peer_prior", &this->routing.peerPrior },
    { "reclaims_per_hour", &this->routing.reclaimsPerHour },
    { "going_domain_per_hour", &this->routing.leavingDomainReclaimsPerHour },
    { "recomputed_token_worth", &this->routing.recomputedTokenWeight },
    { "hot_uses", &this->routing.hotPrefixUses },
    { "dispatched_confidence", &this->routing.prefix.dispatchedConfidence },
    { "gap_confidence", &this->routing.prefix.gapConfidence },
    { "shed_from", &this->admission.shedFrom },
    { "shed_width", &this->admission.shedWidth },
    { "shed_rank_step", &this->admission.shedRankStep },
    { "miss_shift", &this->admission.missShift },
    { "miss_full", &this->admission.missFull },
    { "shed_fairness", &this->admission.shedFairness },
    { "transfer_tokens_per_second", &this->moves.transferTokensPerSecond },
    { "move_safety", &this->moves.durationMargin },
  };
  for (const Entry& entry : entries) {
    if (entry.name == name) {
      *entry.value = value;
      return true;
    }
  }
  return false;
}

} // namespace lagoonward::bench
