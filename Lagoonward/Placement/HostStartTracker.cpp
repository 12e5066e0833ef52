#include "Lagoonward/Placement/HostStartTracker.h"

#include <algorithm>

namespace lagoonward {

HostStartTracker::HostStartTracker(const PlacementSettings& aSettings, std::string aMarket,
                                   std::string aRegion)
  : settings(aSettings)
  , market(std::move(aMarket))
  , region(std::move(aRegion))
{
}

std::string
HostStartTracker::OfferKey(const std::string& aClass, const std::string& aDomain,
                           bool aReclaimable) const
{
  return this->market + "." + this->region + "." + aDomain + "." + aClass +
         (aReclaimable ? ".reclaimable" : ".on-demand");
}

void
HostStartTracker::Observe(const FleetSnapshot& aFleet, TimePoint aNow)
{
  std::erase_if(this->starts, [&](const auto& aEntry) {
    const Start& start = aEntry.second;
    if (start.host.empty()) {
      return false;
    }
    // A host that has not reported yet cannot receive orders, but still counts as starting
    const Endpoint* host = aFleet.Find(start.host);
    const bool reports = host != nullptr && host->load.has_value();
    return reports || aNow >= start.answeredAt + this->settings.startTimeout;
  });
}

std::vector<HostRequest>
HostStartTracker::Unanswered() const
{
  std::vector<HostRequest> requests;
  for (const auto& [token, start] : this->starts) {
    if (start.host.empty()) {
      requests.push_back(start.request);
    }
  }
  return requests;
}

int
HostStartTracker::InProgressCount() const
{
  return static_cast<int>(this->starts.size());
}

int
HostStartTracker::InProgressCountIn(const std::string& aDomain) const
{
  const auto count =
    std::count_if(this->starts.begin(), this->starts.end(), [&](const auto& aEntry) {
      return aEntry.second.request.failureDomain == aDomain;
    });
  return static_cast<int>(count);
}

HostRequest
HostStartTracker::Begin(const Price& aOffer, WallTime aWallNow)
{
  const auto day = std::chrono::floor<std::chrono::days>(aWallNow).time_since_epoch().count();
  const std::string key =
    this->OfferKey(aOffer.machineClass, aOffer.failureDomain, aOffer.reclaimable) + "." +
    std::to_string(day);
  Start start;
  start.request.clientToken = key + "." + std::to_string(this->nextNumber[key]++);
  start.request.kind = EndpointKind::Engine;
  start.request.machineClass = aOffer.machineClass;
  start.request.failureDomain = aOffer.failureDomain;
  start.request.reclaimable = aOffer.reclaimable;
  this->starts[start.request.clientToken] = start;
  return start.request;
}

void
HostStartTracker::Started(const std::string& aToken, const std::string& aHost, TimePoint aNow)
{
  const auto found = this->starts.find(aToken);
  if (found != this->starts.end() && found->second.host.empty()) {
    found->second.host = aHost;
    found->second.answeredAt = aNow;
  }
}

void
HostStartTracker::Refused(const std::string& aToken, TimePoint aNow)
{
  const auto found = this->starts.find(aToken);
  if (found == this->starts.end()) {
    return;
  }
  const HostRequest& request = found->second.request;
  this->pausedUntil[this->OfferKey(request.machineClass, request.failureDomain,
                                   request.reclaimable)] = aNow + this->settings.refusedStartPause;
  this->starts.erase(found);
}

bool
HostStartTracker::IsPaused(const Price& aOffer, TimePoint aNow) const
{
  const auto found = this->pausedUntil.find(
    this->OfferKey(aOffer.machineClass, aOffer.failureDomain, aOffer.reclaimable));
  return found != this->pausedUntil.end() && aNow < found->second;
}

} // namespace lagoonward
