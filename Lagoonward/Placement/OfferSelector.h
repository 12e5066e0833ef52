#pragma once

#include "Lagoonward/Placement/HostStartTracker.h"

namespace lagoonward {

/// Selects the cloud offer on which to start a host in a failure domain: the cheapest one, including the expected
/// cost of a reclaim, that the manifest allows and that has not recently refused a start. Keeps the last selection
/// until another offer has been cheaper by `priceHysteresis` for `priceSettle`, so that fluctuating prices do not
/// cause hosts to be replaced.
class OfferSelector
{
public:
  explicit OfferSelector(const PlacementSettings& aSettings);

  /// Updates the selections from current prices; called once per reconciliation.
  void Observe(const Manifest& aManifest, const std::vector<Price>& aPrices, TimePoint aNow);

  /// @return the offer to use in that failure domain, or nothing if none is available
  [[nodiscard]] std::optional<Price> Choose(const Manifest& aManifest,
                                            const std::vector<Price>& aPrices,
                                            const std::string& aDomain,
                                            const HostStartTracker& aStarts, TimePoint aNow) const;

  /// Price per hour including the expected cost of a reclaim.
  [[nodiscard]] double RiskPrice(const Manifest& aManifest, const Price& aOffer) const;

  /// Whether the manifest allows the offer.
  [[nodiscard]] static bool IsAllowed(const Manifest& aManifest, const Price& aOffer);

private:
  /// The offer selected in one failure domain and the cheaper one that may replace it.
  struct Selection
  {
    std::string machineClass;
    bool reclaimable = true;
    std::string challengerClass;
    bool challengerReclaimable = true;
    std::optional<TimePoint> challengerSince;
  };

  PlacementSettings settings;
  std::map<std::string, Selection> selections; ///< By failure domain.
};

} // namespace lagoonward
