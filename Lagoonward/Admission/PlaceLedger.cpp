#include "Lagoonward/Admission/PlaceLedger.h"

#include "Lagoonward/Core/Log.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lagoonward {

namespace {

const Log kLog("limits");

/// Weight of the newest request in the averaged time for which a place is taken.
constexpr double kDurationWeight = 0.2;

} // namespace

PlaceLedger::PlaceLedger(const PlaceSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
PlaceLedger::Handle(const PlaceMessage& aMessage, ReserveRole aRole, bool aIsStable,
                    const Responder& aRespond)
{
  EndpointPlaces* endpoint =
    aRole == ReserveRole::None ? nullptr : this->FindOrCreate(aMessage, aIsStable);
  if (endpoint == nullptr) {
    if (aMessage.action == PlaceAction::Request) {
      aRespond({});
    }
    return;
  }
  endpoint->isPrimary = aRole == ReserveRole::Primary;
  this->ExpireEndpoint(*endpoint);
  switch (aMessage.action) {
    case PlaceAction::Request:
      this->HandleRequest(*endpoint, aMessage, aRespond);
      return;
    case PlaceAction::Declare:
      this->Declare(*endpoint, aMessage, false);
      return;
    case PlaceAction::Release:
      this->Release(*endpoint, aMessage.lease);
      break;
    case PlaceAction::ReleaseLater:
      if (const auto lease = endpoint->leases.find(aMessage.lease);
          lease != endpoint->leases.end()) {
        lease->second.expiresAt =
          std::min(lease->second.expiresAt, this->clock.Now() + this->settings.abandonedTime);
      }
      break;
    case PlaceAction::ReportRejected:
      this->OnRejected(*endpoint, aMessage.lease);
      break;
  }
  this->GrantWaiting(*endpoint);
}

PlaceLedger::EndpointPlaces*
PlaceLedger::FindOrCreate(const PlaceMessage& aMessage, bool aIsStable)
{
  const TimePoint now = this->clock.Now();
  const auto found = this->endpoints.find(aMessage.endpoint);
  if (found != this->endpoints.end()) {
    found->second.usedAt = now;
    return &found->second;
  }
  if (this->endpoints.size() >= this->settings.maximumEndpoints) {
    std::erase_if(this->endpoints, [&](const auto& aEach) {
      return now - aEach.second.usedAt > this->settings.idleTimeout && aEach.second.waiting.empty();
    });
  }
  if (this->endpoints.size() >= this->settings.maximumEndpoints) {
    return nullptr;
  }
  EndpointPlaces endpoint;
  endpoint.usedAt = now;
  endpoint.places = std::max(static_cast<int>(std::min(aMessage.places, 1U << 20U)), 1);
  endpoint.allowed = endpoint.places;
  endpoint.ownedSince = aIsStable ? now - this->settings.takeoverDelay : now;
  return &this->endpoints.emplace(aMessage.endpoint, std::move(endpoint)).first->second;
}

void
PlaceLedger::HandleRequest(EndpointPlaces& aEndpoint, const PlaceMessage& aMessage,
                           const Responder& aRespond)
{
  if (aEndpoint.waiting.empty() && this->HasRoom(aEndpoint)) {
    this->Grant(aEndpoint, aMessage, aRespond);
    return;
  }
  const TimePoint now = this->clock.Now();
  const TimePoint arrivedAt = now - Milliseconds(aMessage.ageMs);
  const bool mayWait =
    aMessage.waitMs > 0 && aEndpoint.waiting.size() < this->settings.maximumWaiting &&
    this->ExpectedWait(aEndpoint, aMessage.priority, arrivedAt) <= Milliseconds(aMessage.budgetMs);
  if (!mayWait) {
    aRespond(this->FullReply(aEndpoint, aMessage.priority, arrivedAt));
    return;
  }
  aEndpoint.waiting.push_back(
    { aMessage, arrivedAt, now + Milliseconds(aMessage.waitMs), aRespond });
  this->GrantWaiting(aEndpoint);
}

void
PlaceLedger::Declare(EndpointPlaces& aEndpoint, const PlaceMessage& aMessage,
                     bool aIsGrantedHere) const
{
  if (aEndpoint.leases.size() >= this->settings.maximumLeasesPerEndpoint) {
    return;
  }
  const TimePoint now = this->clock.Now();
  const auto duration = std::min(Milliseconds(aMessage.leaseMs), this->settings.maximumLease);
  Lease& lease =
    aEndpoint.leases.try_emplace(aMessage.lease, Lease{ 0, now, now, false }).first->second;
  lease.run = aMessage.run;
  lease.expiresAt = now + duration;
  lease.isGrantedHere = lease.isGrantedHere || aIsGrantedHere;
}

void
PlaceLedger::Release(EndpointPlaces& aEndpoint, std::uint64_t aLease) const
{
  const auto lease = aEndpoint.leases.find(aLease);
  if (lease == aEndpoint.leases.end()) {
    return;
  }
  const double seconds = ToSeconds(this->clock.Now() - lease->second.begunAt);
  double& mean = aEndpoint.meanSeconds;
  mean = mean > 0 ? mean + kDurationWeight * (seconds - mean) : seconds;
  aEndpoint.leases.erase(lease);
}

void
PlaceLedger::OnRejected(EndpointPlaces& aEndpoint, std::uint64_t aLease) const
{
  // Its duration says nothing about those of requests that run
  aEndpoint.leases.erase(aLease);
  const int taken = static_cast<int>(aEndpoint.leases.size());
  aEndpoint.allowed = std::clamp(taken, 1, this->AllowedPlaces(aEndpoint));
  aEndpoint.pausedUntil = this->clock.Now() + this->settings.rejectionPause;
  kLog.Event(
    "places_withdrawn",
    { { "taken", taken }, { "places", aEndpoint.places }, { "allowed", aEndpoint.allowed } });
}

int
PlaceLedger::AllowedPlaces(const EndpointPlaces& aEndpoint) const
{
  if (!aEndpoint.pausedUntil) {
    return aEndpoint.places;
  }
  const auto since =
    std::max(this->clock.Now() - *aEndpoint.pausedUntil, TimePoint::duration::zero());
  const auto recovered = since / this->settings.recoveryInterval;
  return static_cast<int>(std::min<std::int64_t>(aEndpoint.allowed + recovered, aEndpoint.places));
}

Milliseconds
PlaceLedger::PauseLeft(const EndpointPlaces& aEndpoint) const
{
  if (!aEndpoint.pausedUntil) {
    return Milliseconds(0);
  }
  const auto left = std::chrono::ceil<Milliseconds>(*aEndpoint.pausedUntil - this->clock.Now());
  return std::max(left, Milliseconds(0));
}

bool
PlaceLedger::HasRoom(const EndpointPlaces& aEndpoint) const
{
  const TimePoint now = this->clock.Now();
  const auto taken = static_cast<int>(aEndpoint.leases.size());
  if (this->PauseLeft(aEndpoint) > Milliseconds(0) || taken >= this->AllowedPlaces(aEndpoint)) {
    return false;
  }
  const bool isEstablished =
    aEndpoint.isPrimary && now - aEndpoint.ownedSince >= this->settings.takeoverDelay;
  if (isEstablished) {
    return true;
  }
  const auto granted = std::count_if(aEndpoint.leases.begin(), aEndpoint.leases.end(),
                                     [](const auto& aEach) { return aEach.second.isGrantedHere; });
  return granted < this->settings.backupPlaces;
}

Milliseconds
PlaceLedger::ExpectedWait(const EndpointPlaces& aEndpoint, int aPriority,
                          TimePoint aArrivedAt) const
{
  const auto ahead =
    std::count_if(aEndpoint.waiting.begin(), aEndpoint.waiting.end(), [&](const Waiting& aEach) {
      const bool isOlder = aEach.arrivedAt <= aArrivedAt;
      return aEach.message.priority > aPriority || (aEach.message.priority == aPriority && isOlder);
    });
  const std::chrono::duration<double> interval(aEndpoint.meanSeconds /
                                               std::max(this->AllowedPlaces(aEndpoint), 1));
  return this->PauseLeft(aEndpoint) +
         std::chrono::ceil<Milliseconds>(interval * static_cast<double>(ahead + 1));
}

PlaceReply
PlaceLedger::FullReply(const EndpointPlaces& aEndpoint, int aPriority, TimePoint aArrivedAt) const
{
  const Milliseconds wait = this->ExpectedWait(aEndpoint, aPriority, aArrivedAt);
  return { PlaceAnswer::Full, static_cast<std::uint32_t>(std::max<std::int64_t>(wait.count(), 1)) };
}

void
PlaceLedger::Grant(EndpointPlaces& aEndpoint, const PlaceMessage& aMessage,
                   const Responder& aRespond) const
{
  this->Declare(aEndpoint, aMessage, true);
  aEndpoint.servedAt[aMessage.account] = this->clock.Now();
  aRespond({ PlaceAnswer::Granted, 0 });
}

std::vector<PlaceLedger::Waiting>::iterator
PlaceLedger::NextWaiting(EndpointPlaces& aEndpoint) const
{
  const auto servedAt = [&](const Waiting& aEach) {
    const auto found = aEndpoint.servedAt.find(aEach.message.account);
    return found == aEndpoint.servedAt.end() ? TimePoint::min() : found->second;
  };
  return std::min_element(
    aEndpoint.waiting.begin(), aEndpoint.waiting.end(),
    [&](const Waiting& aLeft, const Waiting& aRight) {
      return std::tuple(-aLeft.message.priority, servedAt(aLeft), aLeft.arrivedAt) <
             std::tuple(-aRight.message.priority, servedAt(aRight), aRight.arrivedAt);
    });
}

void
PlaceLedger::GrantWaiting(EndpointPlaces& aEndpoint) const
{
  while (!aEndpoint.waiting.empty() && this->HasRoom(aEndpoint)) {
    const auto next = this->NextWaiting(aEndpoint);
    const Waiting granted = std::move(*next);
    aEndpoint.waiting.erase(next);
    this->Grant(aEndpoint, granted.message, granted.respond);
  }
  if (aEndpoint.waiting.empty()) {
    aEndpoint.servedAt.clear();
  }
}

void
PlaceLedger::ExpireEndpoint(EndpointPlaces& aEndpoint) const
{
  const TimePoint now = this->clock.Now();
  std::erase_if(aEndpoint.leases, [&](const auto& aEach) { return aEach.second.expiresAt <= now; });
  this->GrantWaiting(aEndpoint);
  for (auto each = aEndpoint.waiting.begin(); each != aEndpoint.waiting.end();) {
    if (each->until > now) {
      ++each;
      continue;
    }
    const Waiting expired = std::move(*each);
    each = aEndpoint.waiting.erase(each);
    expired.respond(this->FullReply(aEndpoint, expired.message.priority, expired.arrivedAt));
  }
}

void
PlaceLedger::Expire()
{
  for (auto& [key, endpoint] : this->endpoints) {
    this->ExpireEndpoint(endpoint);
  }
}

void
PlaceLedger::OnRunEnded(std::uint64_t aRun)
{
  for (auto& [key, endpoint] : this->endpoints) {
    std::erase_if(endpoint.leases, [&](const auto& aEach) { return aEach.second.run == aRun; });
    std::erase_if(endpoint.waiting,
                  [&](const Waiting& aEach) { return aEach.message.run == aRun; });
    this->GrantWaiting(endpoint);
  }
}

void
PlaceLedger::OnOwnersChanged(const std::function<bool(std::uint64_t aEndpoint)>& aIsOwned)
{
  std::erase_if(this->endpoints, [&](const auto& aEach) {
    if (aIsOwned(aEach.first)) {
      return false;
    }
    for (const Waiting& each : aEach.second.waiting) {
      each.respond({});
    }
    return true;
  });
}

int
PlaceLedger::Taken(std::uint64_t aEndpoint) const
{
  const auto found = this->endpoints.find(aEndpoint);
  return found == this->endpoints.end() ? 0 : static_cast<int>(found->second.leases.size());
}

} // namespace lagoonward
