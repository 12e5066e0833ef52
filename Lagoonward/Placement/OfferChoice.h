#pragma once

#include "Lagoonward/Placement/HostStarts.h"

namespace lagoonward {

/// Chooses on which offer of the cloud to start a host in a failure domain: the cheapest one, risk
/// included, that the manifest allows and that has not just refused. Keeps to its last choice until
/// another one has been clearly cheaper for a while, so that moving prices do not move the fleet.
class OfferChoice
{
public:
  explicit OfferChoice(const PlacementSettings& aSettings);

  /// Compares prices anew; called once per reconciliation.
  void Observe(const Manifest& aManifest, const std::vector<Price>& aPrices, TimePoint aNow);

  /// @return the offer to use in that failure domain, or nothing
  [[nodiscard]] std::optional<Price> Choose(const Manifest& aManifest,
                                            const std::vector<Price>& aPrices,
                                            const std::string& aDomain, const HostStarts& aStarts,
                                            TimePoint aNow) const;

  /// Price with what the risk of a reclaim is expected to cost.
  [[nodiscard]] double RiskPrice(const Manifest& aManifest, const Price& aOffer) const;

  /// Whether the manifest allows the offer.
  [[nodiscard]] static bool IsAllowed(const Manifest& aManifest, const Price& aOffer);

private:
  /// What one failure domain uses, and what may replace it.
  struct Held
  {
    std::string machineClass;
    bool reclaimable = true;
    std::string rivalClass;
    bool rivalReclaimable = true;
    std::optional<TimePoint> rivalSince;
  };

  PlacementSettings settings;
  std::map<std::string, Held> held; ///< By failure domain.
};

} // namespace lagoonward
