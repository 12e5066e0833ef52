#include "Lagoonward/Placement/DemandSizing.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace lagoonward {

namespace {

/// The failure domains of the terms, the cheapest first.
std::vector<std::string>
ByPrice(const SizingTerms& aTerms)
{
  std::vector<std::string> domains;
  for (const auto& [domain, price] : aTerms.prices) {
    domains.push_back(domain);
  }
  std::stable_sort(domains.begin(), domains.end(),
                   [&](const std::string& aLeft, const std::string& aRight) {
                     return aTerms.prices.at(aLeft) < aTerms.prices.at(aRight);
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
  while (!this->loads.empty() && this->loads.front().at + this->settings.peakMemory < now) {
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
  return this->firstLoadAt && this->clock.Now() >= *this->firstLoadAt + this->settings.unknownFor;
}

double
DemandSizing::Need() const
{
  const double need = this->PeakLoad() / this->settings.utilization;
  return this->IsLoadKnown() ? need : std::max(need, static_cast<double>(this->found));
}

double
DemandSizing::StrainedNeed() const
{
  const double need = this->PeakLoad() / this->settings.strainedUtilization;
  const double share = this->settings.utilization / this->settings.strainedUtilization;
  return this->IsLoadKnown() ? need : std::max(need, this->found * share);
}

bool
DemandSizing::IsDry(const std::string& aDomain) const
{
  const auto subject = this->subjects.find({ aDomain, true });
  return subject != this->subjects.end() && this->clock.Now() < subject->second.dryUntil;
}

std::map<std::string, DomainCount>
DemandSizing::Target(const SizingTerms& aTerms,
                     const std::map<std::string, DomainCount>& aLive) const
{
  std::map<std::string, DomainCount> target;
  const std::vector<std::string> domains = ByPrice(aTerms);
  const double need = this->Need();

  // Reclaimable ones, evenly, the cheapest domains first
  int left = static_cast<int>(std::ceil(need * this->settings.reserve));
  for (const std::string& domain : domains) {
    // Where no more are to be had, those that live stay
    const int kept = this->IsDry(domain) ? CountIn(aLive, domain).reclaimable : 0;
    target[domain].reclaimable = std::min(std::max(aTerms.minimum, kept), aTerms.maximum);
    left -= target[domain].reclaimable;
  }
  for (bool placed = true; placed && left > 0;) {
    placed = false;
    for (const std::string& domain : domains) {
      if (left > 0 && target[domain].reclaimable < aTerms.maximum && !this->IsDry(domain)) {
        ++target[domain].reclaimable;
        --left;
        placed = true;
      }
    }
  }

  // Ordinary ones for what the reclaimable ones that live cannot carry. While a failure domain gives none, another
  // may be reclaimed before those lost are replaced
  double missing = this->StrainedNeed();
  int largest = 0;
  bool isReclaiming = false;
  for (const std::string& domain : domains) {
    const int counted = std::min(CountIn(aLive, domain).reclaimable, target[domain].reclaimable);
    missing -= counted;
    largest = std::max(largest, counted);
    isReclaiming = isReclaiming || this->IsDry(domain);
  }
  missing = std::ceil(missing + (isReclaiming ? largest * this->settings.nextLossPart : 0));
  for (const std::string& domain : domains) {
    // Those that are there already need not boot
    const int kept = std::clamp(static_cast<int>(missing), 0, CountIn(aLive, domain).ordinary);
    target[domain].ordinary = kept;
    missing -= kept;
  }
  for (bool placed = true; placed && missing > 0;) {
    placed = false;
    for (const std::string& domain : domains) {
      DomainCount& there = target[domain];
      const int reclaimable = std::min(there.reclaimable, CountIn(aLive, domain).reclaimable);
      if (missing > 0 && there.ordinary + reclaimable < aTerms.maximum) {
        ++there.ordinary;
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
  const auto subject = this->subjects.find({ aDomain, aReclaimable });
  const TimePoint now = this->clock.Now();
  if (subject == this->subjects.end()) {
    aOrders.push_back({ aDomain, aReclaimable, aCount });
    return;
  }
  const Subject& last = subject->second;
  const bool isStale = last.ordered == aCount && aLive != aCount &&
                       now >= last.orderedAt + aBootTime + this->settings.settle;
  const int difference = std::abs(last.ordered - aCount);
  const bool isNegligible = difference <= last.ordered * this->settings.negligiblePart &&
                            now < last.orderedAt + this->settings.settle;
  if ((last.ordered != aCount && !isNegligible) || isStale) {
    aOrders.push_back({ aDomain, aReclaimable, aCount });
  }
}

std::vector<SizingOrder>
DemandSizing::Plan(const SizingTerms& aTerms, const std::map<std::string, DomainCount>& aLive)
{
  int live = 0;
  for (const auto& [domain, count] : aLive) {
    live += count.ordinary + count.reclaimable;
  }
  // Endpoints make themselves known one after the other
  const TimePoint now = this->clock.Now();
  if (live > 0 && !this->firstLiveAt) {
    this->firstLiveAt = now;
  }
  if (!this->firstLiveAt || now < *this->firstLiveAt + this->settings.foundAfter) {
    this->found = std::max(this->found, live);
    return {};
  }
  const auto target = this->Target(aTerms, aLive);
  int spare = 0; // Reclaimable ones that live beyond those wanted
  for (const std::string& domain : ByPrice(aTerms)) {
    spare += CountIn(aLive, domain).reclaimable - CountIn(target, domain).reclaimable;
  }
  std::vector<SizingOrder> more;
  std::vector<SizingOrder> fewer;
  for (const std::string& domain : ByPrice(aTerms)) {
    const DomainCount wanted = CountIn(target, domain);
    const DomainCount there = CountIn(aLive, domain);
    // What is too many here stays until as many live elsewhere
    const int surplus = there.reclaimable - wanted.reclaimable;
    if (!this->IsDry(domain) && (surplus <= 0 || surplus <= spare)) {
      auto& orders = surplus <= 0 ? more : fewer;
      this->AddOrder(domain, true, wanted.reclaimable, there.reclaimable, aTerms.bootTime, orders);
    }
    auto& orders = wanted.ordinary >= there.ordinary ? more : fewer;
    this->AddOrder(domain, false, wanted.ordinary, there.ordinary, aTerms.bootTime, orders);
  }
  more.insert(more.end(), fewer.begin(), fewer.end());
  return more;
}

void
DemandSizing::OnAccepted(const SizingOrder& aOrder)
{
  Subject& subject = this->subjects[{ aOrder.failureDomain, aOrder.reclaimable }];
  subject.ordered = aOrder.count;
  subject.orderedAt = this->clock.Now();
}

void
DemandSizing::OnUnavailable(const SizingOrder& aOrder)
{
  Subject& subject = this->subjects[{ aOrder.failureDomain, aOrder.reclaimable }];
  subject.dryUntil = this->clock.Now() + this->settings.dryPause;
}

} // namespace lagoonward
