#include "Lagoonward/Admission/PermitLedger.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lagoonward {

PermitLedger::PermitLedger(const PermitSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

PermitReply
PermitLedger::Serve(const PermitRequest& aRequest, ReserveRole aRole, bool aIsStable)
{
  const bool isPlausible =
    aRequest.age >= 0 && std::isfinite(aRequest.perSecond) && aRequest.perSecond >= 0;
  if (!isPlausible || aRole == ReserveRole::None) {
    return {};
  }
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  Bucket* bucket = this->FindOrCreate(aRequest, aIsStable, now);
  if (bucket == nullptr) {
    return { PermitAnswer::Wait, static_cast<std::uint32_t>(this->settings.maximumWait.count()) };
  }
  this->UpdateLimit(*bucket, aRequest, now);
  if (!aRequest.wantsPermit || !bucket->isLimited) {
    return { PermitAnswer::Unlimited, 0 };
  }
  return this->TryGrant(*bucket, aRole, now);
}

PermitLedger::Bucket*
PermitLedger::FindOrCreate(const PermitRequest& aRequest, bool aIsStable, TimePoint aNow)
{
  const auto found = this->buckets.find(aRequest.endpoint);
  if (found != this->buckets.end()) {
    return &found->second;
  }
  if (this->buckets.size() >= this->settings.maximumEndpoints) {
    std::erase_if(this->buckets, [&](const auto& aEach) {
      return aNow - aEach.second.refilledAt > this->settings.idleTimeout;
    });
  }
  if (this->buckets.size() >= this->settings.maximumEndpoints) {
    return nullptr;
  }
  Bucket bucket;
  bucket.refilledAt = aNow;
  bucket.receivedAt = TimePoint::min();
  if (aIsStable) {
    bucket.permits = this->settings.burst;
    bucket.primarySince = aNow - this->settings.takeoverDelay;
  }
  return &this->buckets.emplace(aRequest.endpoint, bucket).first->second;
}

void
PermitLedger::UpdateLimit(Bucket& aBucket, const PermitRequest& aRequest, TimePoint aNow) const
{
  const TimePoint receivedAt =
    aNow - std::min(Milliseconds(aRequest.age), this->settings.idleTimeout);
  if (receivedAt < aBucket.receivedAt) {
    return;
  }
  aBucket.receivedAt = receivedAt;
  aBucket.isLimited = aRequest.isLimited;
  aBucket.perSecond = std::max(aRequest.perSecond, this->settings.minimumPerSecond);
}

double
PermitLedger::RefillRate(Bucket& aBucket, ReserveRole aRole, TimePoint aNow) const
{
  if (aRole != ReserveRole::Primary) {
    aBucket.primarySince.reset();
    return aBucket.perSecond * this->settings.backupShare;
  }
  if (!aBucket.primarySince) {
    aBucket.primarySince = aNow;
  }
  const bool isTakingOver = aNow - *aBucket.primarySince < this->settings.takeoverDelay;
  return aBucket.perSecond * (isTakingOver ? this->settings.backupShare : 1);
}

PermitReply
PermitLedger::TryGrant(Bucket& aBucket, ReserveRole aRole, TimePoint aNow) const
{
  const double rate = this->RefillRate(aBucket, aRole, aNow);
  const double capacity =
    aRole == ReserveRole::Primary ? this->settings.burst : this->settings.backupBurst;
  const std::chrono::duration<double> elapsed = aNow - aBucket.refilledAt;
  aBucket.permits = std::min(aBucket.permits + rate * elapsed.count(), capacity);
  aBucket.refilledAt = aNow;
  if (aBucket.permits >= 1) {
    aBucket.permits -= 1;
    aBucket.refusals = 0;
    return { PermitAnswer::Granted, 0 };
  }
  // The next permits are expected to go to the daemons refused before this one
  const double seconds = (1 - aBucket.permits + aBucket.refusals) / rate;
  ++aBucket.refusals;
  const double longestSeconds = std::chrono::duration<double>(this->settings.maximumWait).count();
  const auto wait = static_cast<std::uint32_t>(std::ceil(std::min(seconds, longestSeconds) * 1000));
  return { PermitAnswer::Wait, std::max(wait, 1U) };
}

} // namespace lagoonward
