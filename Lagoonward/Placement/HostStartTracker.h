#pragma once

#include "Lagoonward/Placement/PlacementOrder.h"
#include "Lagoonward/Placement/PlacementSettings.h"

#include <map>
#include <optional>

namespace lagoonward {

/// Tracks the host starts of one market and region. Every leader numbers its client tokens from zero for each
/// offer and day. A successor therefore repeats the tokens of its predecessor and receives the ids of the hosts
/// that were already started, so that neither a lost response nor a change of leader starts a second host.
class HostStartTracker
{
public:
  HostStartTracker(const PlacementSettings& aSettings, std::string aMarket, std::string aRegion);

  /// Removes the starts whose hosts report their load, and those that have timed out.
  void Observe(const FleetSnapshot& aFleet, TimePoint aNow);

  /// Requests without a response from the cloud, to be repeated.
  [[nodiscard]] std::vector<HostRequest> Unanswered() const;

  /// Number of requested hosts that do not report their load yet.
  [[nodiscard]] int InProgressCount() const;

  /// Number of requested hosts of one failure domain that do not report their load yet.
  [[nodiscard]] int InProgressCountIn(const std::string& aDomain) const;

  /// Begins a host start on that offer.
  /// @return the request with its client token
  HostRequest Begin(const Price& aOffer, WallTime aWallNow);

  /// The cloud returned the id of the host. Once the host reports its load, or has not done so within
  /// `startTimeout`, the start ends and the next one uses the next token. A repeated response is ignored.
  void Started(const std::string& aToken, const std::string& aHost, TimePoint aNow);

  /// The cloud refused the start; the offer is not used for a while.
  void Refused(const std::string& aToken, TimePoint aNow);

  [[nodiscard]] bool IsPaused(const Price& aOffer, TimePoint aNow) const;

private:
  struct Start
  {
    HostRequest request;
    std::string host; ///< Empty until the cloud has responded.
    TimePoint answeredAt;
  };

  [[nodiscard]] std::string OfferKey(const std::string& aClass, const std::string& aDomain,
                                     bool aReclaimable) const;

  PlacementSettings settings;
  std::string market;
  std::string region;
  std::map<std::string, Start> starts;          ///< Unfinished starts, by token.
  std::map<std::string, int> nextNumber;        ///< By offer and day.
  std::map<std::string, TimePoint> pausedUntil; ///< By offer.
};

} // namespace lagoonward
