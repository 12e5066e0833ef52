#include "Lagoonward/Placement/OfferChoice.h"

#include <algorithm>

namespace lagoonward {

namespace {

bool
Contains(const std::vector<std::string>& aItems, const std::string& aItem)
{
  return std::find(aItems.begin(), aItems.end(), aItem) != aItems.end();
}

} // namespace

OfferChoice::OfferChoice(const PlacementSettings& aSettings)
  : settings(aSettings)
{
}

bool
OfferChoice::IsAllowed(const Manifest& aManifest, const Price& aOffer)
{
  const bool classAllowed =
    aManifest.machineClasses.empty() || Contains(aManifest.machineClasses, aOffer.machineClass);
  const bool affordable = aManifest.priceCeiling <= 0 || aOffer.perHour <= aManifest.priceCeiling;
  return classAllowed && affordable && Contains(aManifest.failureDomains, aOffer.failureDomain);
}

double
OfferChoice::RiskPrice(const Manifest& aManifest, const Price& aOffer) const
{
  const double surcharge =
    aOffer.reclaimable ? this->settings.reclaimSurcharge * aManifest.objective.recomputedTokens : 0;
  return aOffer.perHour * (1 + surcharge);
}

void
OfferChoice::Observe(const Manifest& aManifest, const std::vector<Price>& aPrices, TimePoint aNow)
{
  for (const std::string& domain : aManifest.failureDomains) {
    const Price* best = nullptr;
    const Price* current = nullptr;
    Held& state = this->held[domain];
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
    // No choice yet, or it is no longer offered
    if (current == nullptr) {
      state = Held{ best->machineClass, best->reclaimable, {}, true, {} };
      continue;
    }

    // Clearly cheaper, and the same rival all the time?
    const double saving =
      1 - this->RiskPrice(aManifest, *best) / std::max(this->RiskPrice(aManifest, *current), 1e-9);
    const bool same = state.rivalSince && state.rivalClass == best->machineClass &&
                      state.rivalReclaimable == best->reclaimable;
    if (saving < this->settings.priceHysteresis) {
      state.rivalSince.reset();
    } else if (!same) {
      state.rivalClass = best->machineClass;
      state.rivalReclaimable = best->reclaimable;
      state.rivalSince = aNow;
    } else if (aNow >= *state.rivalSince + this->settings.priceSettle) {
      state = Held{ best->machineClass, best->reclaimable, {}, true, {} };
    }
  }
}

std::optional<Price>
OfferChoice::Choose(const Manifest& aManifest, const std::vector<Price>& aPrices,
                    const std::string& aDomain, const HostStarts& aStarts, TimePoint aNow) const
{
  const auto state = this->held.find(aDomain);
  std::optional<Price> best;
  for (const Price& offer : aPrices) {
    if (offer.failureDomain != aDomain || !IsAllowed(aManifest, offer) ||
        aStarts.IsPaused(offer, aNow)) {
      continue;
    }
    // The held offer goes first while it can be had; otherwise the cheapest of the rest
    const bool isHeld = state != this->held.end() &&
                        offer.machineClass == state->second.machineClass &&
                        offer.reclaimable == state->second.reclaimable;
    if (isHeld) {
      return offer;
    }
    if (!best || this->RiskPrice(aManifest, offer) < this->RiskPrice(aManifest, *best)) {
      best = offer;
    }
  }
  return best;
}

} // namespace lagoonward
