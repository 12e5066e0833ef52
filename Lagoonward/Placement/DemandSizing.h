#pragma once

#include "Lagoonward/Core/Clock.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lagoonward {

/// Tunables of sizing a service by its demand.
struct DemandSizingSettings
{
  /// Part of the endpoints' time that demand may take. Above it, waiting eats the targets for the first
  /// event.
  double utilization = 0.6;

  /// The same up to which ordinary endpoints, several times as dear, do not stand in for missing
  /// reclaimable ones.
  double strainedUtilization = 0.78;

  /// Part of the largest failure domain's reclaimable endpoints that ordinary ones make up for in advance while some
  /// failure domain gives no reclaimable ones: reclaims come in waves. A whole one served large deployments better
  /// (worst seconds 0.43 to 0.56 of their worth) and cost small ones more than it brought (0.02 of a day's worth).
  double nextLossPart = 0.5;

  /// Endpoints ordered beyond the need, so that the loss of one failure domain's reclaimable ones leaves
  /// enough.
  double reserve = 1.25;

  /// A count that differs from the last order by no more than this part waits until that order is settled:
  /// each order costs a call, and endpoints that come and go cost their boot time.
  double negligiblePart = 0.1;

  Milliseconds peakMemory{ 12'000 }; ///< The need follows the highest load of this long.
  Milliseconds unknownFor{
    8'000
  }; ///< Until load was seen for so long the fleet found counts as needed.

  /// The fleet found is what has shown up within so long of the first endpoint.
  Milliseconds foundAfter{ 3'000 };

  /// A failure domain that could not give a reclaimable endpoint is not asked again for so long.
  Milliseconds dryPause{ 3'000 };

  /// A count that differs from what was ordered for so long, beyond the boot time, is ordered again.
  Milliseconds settle{ 3'000 };
};

/// What a service's endpoints may be ordered under.
struct SizingTerms
{
  int minimum = 0; ///< Per failure domain, both kinds together.
  int maximum = 0; ///< The same.
  Milliseconds bootTime{ 0 };
  std::map<std::string, double> prices; ///< By failure domain; its names are all there are.
};

/// Live endpoints of one failure domain, those that leave not among them.
struct DomainCount
{
  int ordinary = 0;
  int reclaimable = 0;
};

/// One order: so many endpoints of one kind in one failure domain.
struct SizingOrder
{
  std::string failureDomain;
  bool reclaimable = false;
  int count = 0;
};

/// Decides how many endpoints one service should have, where and of which kind. Reclaimable ones carry the
/// load, spread over all failure domains; ordinary ones stand in while reclaimable ones cannot be had.
/// Pure: the clock is passed in, orders are only returned. Not thread-safe.
class DemandSizing
{
public:
  DemandSizing(const DemandSizingSettings& aSettings, const Clock& aClock);

  /// Notes the load: endpoint seconds that the demand takes each second.
  void OnLoad(double aLoad);

  /// The orders that are due, the most urgent first.
  [[nodiscard]] std::vector<SizingOrder> Plan(const SizingTerms& aTerms,
                                              const std::map<std::string, DomainCount>& aLive);

  /// An order was accepted.
  void OnAccepted(const SizingOrder& aOrder);

  /// None of that kind are to be had there now.
  void OnUnavailable(const SizingOrder& aOrder);

  /// Endpoints needed for the load, without the reserve; for logs.
  [[nodiscard]] double Need() const;

  /// Endpoints without which the load cannot be carried at all.
  [[nodiscard]] double StrainedNeed() const;

private:
  struct Subject
  {
    int ordered = -1; ///< Last accepted count; -1 for none.
    TimePoint orderedAt;
    TimePoint dryUntil;
  };

  using SubjectKey = std::pair<std::string, bool>; ///< Failure domain; whether reclaimable.

  struct LoadPoint
  {
    TimePoint at;
    double load = 0;
  };

  [[nodiscard]] std::map<std::string, DomainCount> Target(
    const SizingTerms& aTerms, const std::map<std::string, DomainCount>& aLive) const;
  [[nodiscard]] double PeakLoad() const;
  [[nodiscard]] bool IsLoadKnown() const;
  [[nodiscard]] bool IsDry(const std::string& aDomain) const;
  void AddOrder(const std::string& aDomain, bool aReclaimable, int aCount, int aLive,
                Milliseconds aBootTime, std::vector<SizingOrder>& aOrders) const;

  DemandSizingSettings settings;
  const Clock& clock;
  std::map<SubjectKey, Subject> subjects;
  std::deque<LoadPoint> loads; ///< The last peakMemory.
  std::optional<TimePoint> firstLoadAt;
  std::optional<TimePoint> firstLiveAt;
  int found = 0; ///< Endpoints that were there at first.
};

} // namespace lagoonward
