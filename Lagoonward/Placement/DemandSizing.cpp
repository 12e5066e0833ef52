#include "Lagoonward/Placement/DemandSizing.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace lagoonward {

namespace {

/// The failure domains of the constraints, cheapest first.
std::vector<std::string>
ByPrice(const SizingConstraints& aConstraints)
{
  std::vector<std::string> domains;
  for (const auto& [domain, price] : aConstraints.prices) {
    domains.push_back(domain);
  }
  std::stable_sort(domains.begin(), domains.end(),
                   [&](const std::string& aLeft, const std::string& aRight) {
                     return aConstraints.prices.at(aLeft) < aConstraints.prices.at(aRight);
                   });
  return domains;
}

DomainCount
CountIn(const std::map<std::string, DomainCount>& aCounts, const std::string& aDomain)
{
  const auto found = aCounts.find(aDomain);
  return found == aCounts.end() ? DomainCount{} : found->second;
}

} // namespace

DemandSizing::DemandSizing(const DemandSizingSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
DemandSizing::OnLoad(double aLoad)
{
  const TimePoint now = this->clock.Now();
  if (aLoad > 0 && !this->firstLoadAt) {
    this->firstLoadAt = now;
  }
  this->loads.push_back({ now, aLoad });
  while (!this->loads.empty() && this->loads.front().at + this->settings.peakWindow < now) {
    this->loads.pop_front();
  }
}

double
DemandSizing::PeakLoad() const
{
  double peak = 0;
  for (const LoadPoint& point : this->loads) {
    peak = std::max(peak, point.load);
  }
  return peak;
}

bool
DemandSizing::IsLoadKnown() const
{
  return this->firstLoadAt && this->clock.Now() >= *this->firstLoadAt + this->settings.loadWarmUp;
}

double
DemandSizing::RequiredEndpoints() const
{
  const double need = this->PeakLoad() / this->settings.utilization;
  return this->IsLoadKnown() ? need : std::max(need, static_cast<double>(this->initialEndpoints));
}

double
DemandSizing::MinimumRequiredEndpoints() const
{
  const double need = this->PeakLoad() / this->settings.maximumUtilization;
  const double share = this->settings.utilization / this->settings.maximumUtilization;
  return this->IsLoadKnown() ? need : std::max(need, this->initialEndpoints * share);
}

bool
DemandSizing::IsUnavailable(const std::string& aDomain) const
{
  const auto orderState = this->orderStates.find({ aDomain, true });
  return orderState != this->orderStates.end() &&
         this->clock.Now() < orderState->second.unavailableUntil;
}

std::map<std::string, DomainCount>
DemandSizing::Target(const SizingConstraints& aConstraints,
                     const std::map<std::string, DomainCount>& aLive) const
{
  std::map<std::string, DomainCount> target;
  const std::vector<std::string> domains = ByPrice(aConstraints);
  const double need = this->RequiredEndpoints();

  // Distribute reclaimable endpoints evenly, starting with the cheapest domains
  int remaining = static_cast<int>(std::ceil(need * this->settings.reserveFactor));
  for (const std::string& domain : domains) {
    // Where no more are available, keep the live ones
    const int kept = this->IsUnavailable(domain) ? CountIn(aLive, domain).reclaimable : 0;
    target[domain].reclaimable =
      std::min(std::max(aConstraints.minimum, kept), aConstraints.maximum);
    remaining -= target[domain].reclaimable;
  }
  for (bool placed = true; placed && remaining > 0;) {
    placed = false;
    for (const std::string& domain : domains) {
      if (remaining > 0 && target[domain].reclaimable < aConstraints.maximum &&
          !this->IsUnavailable(domain)) {
        ++target[domain].reclaimable;
        --remaining;
        placed = true;
      }
    }
  }

  // Ordinary endpoints cover the load that the live reclaimable ones cannot carry. While a failure domain has no
  // reclaimable capacity, endpoints of another one may be reclaimed before the lost ones are replaced
  double missing = this->MinimumRequiredEndpoints();
  int largest = 0;
  bool isReclaiming = false;
  for (const std::string& domain : domains) {
    const int counted = std::min(CountIn(aLive, domain).reclaimable, target[domain].reclaimable);
    missing -= counted;
    largest = std::max(largest, counted);
    isReclaiming = isReclaiming || this->IsUnavailable(domain);
  }
  missing = std::ceil(missing + (isReclaiming ? largest * this->settings.nextReclaimFraction : 0));
  for (const std::string& domain : domains) {
    // Endpoints that are already live need no boot time
    const int kept = std::clamp(static_cast<int>(missing), 0, CountIn(aLive, domain).ordinary);
    target[domain].ordinary = kept;
    missing -= kept;
  }
  for (bool placed = true; placed && missing > 0;) {
    placed = false;
    for (const std::string& domain : domains) {
      DomainCount& current = target[domain];
      const int reclaimable = std::min(current.reclaimable, CountIn(aLive, domain).reclaimable);
      if (missing > 0 && current.ordinary + reclaimable < aConstraints.maximum) {
        ++current.ordinary;
        --missing;
        placed = true;
      }
    }
  }
  return target;
}

void
DemandSizing::AddOrder(const std::string& aDomain, bool aReclaimable, int aCount, int aLive,
                       Milliseconds aBootTime, std::vector<SizingOrder>& aOrders) const
{
  const auto orderState = this->orderStates.find({ aDomain, aReclaimable });
  const TimePoint now = this->clock.Now();
  if (orderState == this->orderStates.end()) {
    aOrders.push_back({ aDomain, aReclaimable, aCount });
    return;
  }
  const OrderState& last = orderState->second;
  const bool isStale = last.ordered == aCount && aLive != aCount &&
                       now >= last.orderedAt + aBootTime + this->settings.settleTime;
  const int difference = std::abs(last.ordered - aCount);
  const bool isNegligible = difference <= last.ordered * this->settings.negligibleFraction &&
                            now < last.orderedAt + this->settings.settleTime;
  if ((last.ordered != aCount && !isNegligible) || isStale) {
    aOrders.push_back({ aDomain, aReclaimable, aCount });
  }
}

std::vector<SizingOrder>
DemandSizing::Plan(const SizingConstraints& aConstraints,
                   const std::map<std::string, DomainCount>& aLive)
{
  int live = 0;
  for (const auto& [domain, count] : aLive) {
    live += count.ordinary + count.reclaimable;
  }
  // Endpoints are discovered one after the other
  const TimePoint now = this->clock.Now();
  if (live > 0 && !this->firstLiveAt) {
    this->firstLiveAt = now;
  }
  if (!this->firstLiveAt || now < *this->firstLiveAt + this->settings.discoveryWindow) {
    this->initialEndpoints = std::max(this->initialEndpoints, live);
    return {};
  }
  const auto target = this->Target(aConstraints, aLive);
  int spare = 0; // Live reclaimable endpoints in excess of the target
  for (const std::string& domain : ByPrice(aConstraints)) {
    spare += CountIn(aLive, domain).reclaimable - CountIn(target, domain).reclaimable;
  }
  std::vector<SizingOrder> more;
  std::vector<SizingOrder> fewer;
  for (const std::string& domain : ByPrice(aConstraints)) {
    const DomainCount wanted = CountIn(target, domain);
    const DomainCount current = CountIn(aLive, domain);
    // Keep a surplus here until as many endpoints are live elsewhere
    const int surplus = current.reclaimable - wanted.reclaimable;
    if (!this->IsUnavailable(domain) && (surplus <= 0 || surplus <= spare)) {
      auto& orders = surplus <= 0 ? more : fewer;
      this->AddOrder(domain, true, wanted.reclaimable, current.reclaimable, aConstraints.bootTime,
                     orders);
    }
    auto& orders = wanted.ordinary >= current.ordinary ? more : fewer;
    this->AddOrder(domain, false, wanted.ordinary, current.ordinary, aConstraints.bootTime, orders);
  }
  more.insert(more.end(), fewer.begin(), fewer.end());
  return more;
}

void
DemandSizing::OnAccepted(const SizingOrder& aOrder)
{
  OrderState& orderState = this->orderStates[{ aOrder.failureDomain, aOrder.reclaimable }];
  orderState.ordered = aOrder.count;
  orderState.orderedAt = this->clock.Now();
}

void
DemandSizing::OnUnavailable(const SizingOrder& aOrder)
{
  OrderState& orderState = this->orderStates[{ aOrder.failureDomain, aOrder.reclaimable }];
  orderState.unavailableUntil = this->clock.Now() + this->settings.unavailablePause;
}

} // namespace lagoonward
