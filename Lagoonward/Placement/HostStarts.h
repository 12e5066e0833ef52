#pragma once

#include "Lagoonward/Placement/PlacementOrder.h"
#include "Lagoonward/Placement/PlacementSettings.h"

#include <map>
#include <optional>

namespace lagoonward {

/// Host starts of one market and region. Tokens are counted up from zero for each offer and day, by
/// every leader alike: a successor that starts again from zero gets the ids of the hosts its
/// predecessor started, so that no lost answer and no change of leader starts a second host.
class HostStarts
{
public:
  HostStarts(const PlacementSettings& aSettings, std::string aMarket, std::string aRegion);

  /// Sees which hosts report their load; forgets starts that are done or have failed.
  void Observe(const FleetSnapshot& aFleet, TimePoint aNow);

  /// Starts to be asked for again, and those under way.
  [[nodiscard]] std::vector<HostRequest> Unanswered() const;

  /// Number of hosts asked for that do not report yet.
  [[nodiscard]] int UnderWay() const;

  /// Hosts of one failure domain asked for that do not report yet.
  [[nodiscard]] int UnderWayIn(const std::string& aDomain) const;

  /// Begins a start on that offer. @return the request with its token
  HostRequest Begin(const Price& aOffer, WallTime aWallNow);

  /// The cloud named the host. If it is listed already or known to be gone, the next token is tried.
  void Started(const std::string& aToken, const std::string& aHost, TimePoint aNow);

  /// The cloud refused; the offer is left alone for a while.
  void Refused(const std::string& aToken, TimePoint aNow);

  [[nodiscard]] bool IsPaused(const Price& aOffer, TimePoint aNow) const;

private:
  struct Start
  {
    HostRequest request;
    std::string host; ///< Empty until the cloud has answered.
    TimePoint answeredAt;
  };

  [[nodiscard]] std::string OfferKey(const std::string& aClass, const std::string& aDomain,
                                     bool aReclaimable) const;

  PlacementSettings settings;
  std::string market;
  std::string region;
  std::map<std::string, Start> starts;          ///< By token; those not done.
  std::map<std::string, int> nextNumber;        ///< By offer and day.
  std::map<std::string, TimePoint> pausedUntil; ///< By offer.
};

} // namespace lagoonward
