#include "Lagoonward/Placement/OfferSelector.h"

#include <algorithm>

namespace lagoonward {

namespace {

bool
Contains(const std::vector<std::string>& aItems, const std::string& aItem)
{
  return std::find(aItems.begin(), aItems.end(), aItem) != aItems.end();
}

} // namespace

OfferSelector::OfferSelector(const PlacementSettings& aSettings)
  : settings(aSettings)
{
}

bool
OfferSelector::IsAllowed(const Manifest& aManifest, const Price& aOffer)
{
  const bool classAllowed =
    aManifest.machineClasses.empty() || Contains(aManifest.machineClasses, aOffer.machineClass);
  const bool affordable = aManifest.priceCeiling <= 0 || aOffer.perHour <= aManifest.priceCeiling;
  return classAllowed && affordable && Contains(aManifest.failureDomains, aOffer.failureDomain);
}

double
OfferSelector::RiskPrice(const Manifest& aManifest, const Price& aOffer) const
{
  const double surcharge =
    aOffer.reclaimable ? this->settings.reclaimSurcharge * aManifest.objective.recomputedTokens : 0;
  return aOffer.perHour * (1 + surcharge);
}

void
OfferSelector::Observe(const Manifest& aManifest, const std::vector<Price>& aPrices, TimePoint aNow)
{
  for (const std::string& domain : aManifest.failureDomains) {
    const Price* best = nullptr;
    const Price* current = nullptr;
    Selection& state = this->selections[domain];
    for (const Price& offer : aPrices) {
      if (offer.failureDomain != domain || !IsAllowed(aManifest, offer)) {
        continue;
      }
      if (best == nullptr ||
          this->RiskPrice(aManifest, offer) < this->RiskPrice(aManifest, *best)) {
        best = &offer;
      }
      if (offer.machineClass == state.machineClass && offer.reclaimable == state.reclaimable) {
        current = &offer;
      }
    }
    if (best == nullptr) {
      continue;
    }
    // No selection yet, or the selected offer is no longer available
    if (current == nullptr) {
      state = Selection{ best->machineClass, best->reclaimable, {}, true, {} };
      continue;
    }

    // Replace the selection only if the same offer stays cheaper throughout `priceSettle`
    const double saving =
      1 - this->RiskPrice(aManifest, *best) / std::max(this->RiskPrice(aManifest, *current), 1e-9);
    const bool same = state.challengerSince && state.challengerClass == best->machineClass &&
                      state.challengerReclaimable == best->reclaimable;
    if (saving < this->settings.priceHysteresis) {
      state.challengerSince.reset();
    } else if (!same) {
      state.challengerClass = best->machineClass;
      state.challengerReclaimable = best->reclaimable;
      state.challengerSince = aNow;
    } else if (aNow >= *state.challengerSince + this->settings.priceSettle) {
      state = Selection{ best->machineClass, best->reclaimable, {}, true, {} };
    }
  }
}

std::optional<Price>
OfferSelector::Choose(const Manifest& aManifest, const std::vector<Price>& aPrices,
                      const std::string& aDomain, const HostStartTracker& aStarts,
                      TimePoint aNow) const
{
  const auto state = this->selections.find(aDomain);
  std::optional<Price> best;
  for (const Price& offer : aPrices) {
    if (offer.failureDomain != aDomain || !IsAllowed(aManifest, offer) ||
        aStarts.IsPaused(offer, aNow)) {
      continue;
    }
    // Prefer the selected offer while it is available, otherwise use the cheapest remaining one
    const bool isSelected = state != this->selections.end() &&
                            offer.machineClass == state->second.machineClass &&
                            offer.reclaimable == state->second.reclaimable;
    if (isSelected) {
      return offer;
    }
    if (!best || this->RiskPrice(aManifest, offer) < this->RiskPrice(aManifest, *best)) {
      best = offer;
    }
  }
  return best;
}

} // namespace lagoonward
