#include "Lagoonward/Admission/PermitBook.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lagoonward {

PermitBook::PermitBook(const PermitSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

PermitReply
PermitBook::Serve(const PermitRequest& aRequest, ReserveRole aRole, bool aIsSettled)
{
  const bool isPlausible =
    aRequest.age >= 0 && std::isfinite(aRequest.perSecond) && aRequest.perSecond >= 0;
  if (!isPlausible || aRole == ReserveRole::None) {
    return {};
  }
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  Bucket* bucket = this->Find(aRequest, aIsSettled, now);
  if (bucket == nullptr) {
    return { PermitAnswer::Wait, static_cast<std::uint32_t>(this->settings.longestWait.count()) };
  }
  this->Hear(*bucket, aRequest, now);
  if (!aRequest.wants || !bucket->isLimited) {
    return { PermitAnswer::Unlimited, 0 };
  }
  return this->Take(*bucket, aRole, now);
}

PermitBook::Bucket*
PermitBook::Find(const PermitRequest& aRequest, bool aIsSettled, TimePoint aNow)
{
  const auto found = this->buckets.find(aRequest.endpoint);
  if (found != this->buckets.end()) {
    return &found->second;
  }
  if (this->buckets.size() >= this->settings.maximumEndpoints) {
    std::erase_if(this->buckets, [&](const auto& aEach) {
      return aNow - aEach.second.filledAt > this->settings.idle;
    });
  }
  if (this->buckets.size() >= this->settings.maximumEndpoints) {
    return nullptr;
  }
  Bucket bucket;
  bucket.filledAt = aNow;
  bucket.heardAt = TimePoint::min();
  if (aIsSettled) {
    bucket.permits = this->settings.burst;
    bucket.primarySince = aNow - this->settings.takeover;
  }
  return &this->buckets.emplace(aRequest.endpoint, bucket).first->second;
}

void
PermitBook::Hear(Bucket& aBucket, const PermitRequest& aRequest, TimePoint aNow) const
{
  const TimePoint heardAt = aNow - std::min(Milliseconds(aRequest.age), this->settings.idle);
  if (heardAt < aBucket.heardAt) {
    return;
  }
  aBucket.heardAt = heardAt;
  aBucket.isLimited = aRequest.isLimited;
  aBucket.perSecond = std::max(aRequest.perSecond, this->settings.least);
}

double
PermitBook::RateOf(Bucket& aBucket, ReserveRole aRole, TimePoint aNow) const
{
  if (aRole != ReserveRole::Primary) {
    aBucket.primarySince.reset();
    return aBucket.perSecond * this->settings.backupPart;
  }
  if (!aBucket.primarySince) {
    aBucket.primarySince = aNow;
  }
  const bool isNew = aNow - *aBucket.primarySince < this->settings.takeover;
  return aBucket.perSecond * (isNew ? this->settings.backupPart : 1);
}

PermitReply
PermitBook::Take(Bucket& aBucket, ReserveRole aRole, TimePoint aNow) const
{
  const double rate = this->RateOf(aBucket, aRole, aNow);
  const double most =
    aRole == ReserveRole::Primary ? this->settings.burst : this->settings.backupBurst;
  const std::chrono::duration<double> since = aNow - aBucket.filledAt;
  aBucket.permits = std::min(aBucket.permits + rate * since.count(), most);
  aBucket.filledAt = aNow;
  if (aBucket.permits >= 1) {
    aBucket.permits -= 1;
    aBucket.refused = 0;
    return { PermitAnswer::Granted, 0 };
  }
  // Those who come before have the next ones
  const double seconds = (1 - aBucket.permits + aBucket.refused) / rate;
  ++aBucket.refused;
  const double longest = std::chrono::duration<double>(this->settings.longestWait).count();
  const auto wait = static_cast<std::uint32_t>(std::ceil(std::min(seconds, longest) * 1000));
  return { PermitAnswer::Wait, std::max(wait, 1U) };
}

} // namespace lagoonward
