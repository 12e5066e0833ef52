#include "Lagoonward/Admission/EndpointLimits.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/Log.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

namespace {

const Log kLog("limits");

} // namespace

EndpointLimits::EndpointLimits(const EndpointLimitSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
EndpointLimits::OnLimitAdvertised(std::string_view aEndpoint, double aPerSecond)
{
  if (aPerSecond > this->settings.largestLimit) {
    this->OnNoLimitAdvertised(aEndpoint);
    return;
  }
  const std::lock_guard lock(this->mutex);
  this->EvictOldest();
  const auto [entry, isNew] = this->limits.try_emplace(std::string(aEndpoint));
  if (isNew || entry->second.perSecond != aPerSecond) {
    kLog.Event("endpoint_limit", { { "endpoint", aEndpoint }, { "per_second", aPerSecond } });
  }
  entry->second.perSecond = aPerSecond;
  entry->second.receivedAt = this->clock.Now();
}

void
EndpointLimits::OnNoLimitAdvertised(std::string_view aEndpoint)
{
  {
    const std::lock_guard lock(this->mutex);
    if (this->limits.empty() || this->limits.erase(std::string(aEndpoint)) == 0) {
      return;
    }
  }
  kLog.Event("endpoint_limit_lifted", { { "endpoint", aEndpoint } });
  if (this->liftedListener) {
    PermitRequest update;
    update.endpoint = HashBytes(aEndpoint);
    update.isLimited = false;
    update.wantsPermit = false;
    this->liftedListener(update);
  }
}

void
EndpointLimits::OnMalformedLimit(std::string_view aEndpoint)
{
  const std::lock_guard lock(this->mutex);
  if (!std::exchange(this->isMalformedLogged, true)) {
    kLog.Event(LogLevel::Warning, "endpoint_limit_malformed", { { "endpoint", aEndpoint } });
  }
}

void
EndpointLimits::SetLimitLiftedListener(std::function<void(const PermitRequest& aUpdate)> aListener)
{
  this->liftedListener = std::move(aListener);
}

std::optional<PermitRequest>
EndpointLimits::MakePermitRequest(std::string_view aEndpoint)
{
  const std::lock_guard lock(this->mutex);
  const auto found =
    this->limits.empty() ? this->limits.end() : this->limits.find(std::string(aEndpoint));
  if (found == this->limits.end()) {
    return std::nullopt;
  }
  PermitRequest request;
  request.endpoint = HashBytes(aEndpoint);
  request.perSecond = found->second.perSecond;
  request.age =
    std::chrono::floor<Milliseconds>(this->clock.Now() - found->second.receivedAt).count();
  return request;
}

void
EndpointLimits::OnPermitDenied(std::string_view aEndpoint, const PermitReply& aReply)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->limits.find(std::string(aEndpoint));
  if (found == this->limits.end()) {
    return;
  }
  if (aReply.answer == PermitAnswer::Unlimited) {
    this->limits.erase(found);
    return;
  }
  const Milliseconds wait = aReply.answer == PermitAnswer::Wait ? Milliseconds(aReply.retryAfterMs)
                                                                : this->settings.noReplyBlockTime;
  found->second.blockedUntil = this->clock.Now() + wait;
}

std::vector<std::string>
EndpointLimits::BlockedEndpoints()
{
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> blocked;
  const TimePoint now = this->clock.Now();
  for (const auto& [endpoint, each] : this->limits) {
    if (each.blockedUntil > now) {
      blocked.push_back(endpoint);
    }
  }
  return blocked;
}

std::vector<std::string>
EndpointLimits::LimitedEndpoints()
{
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> limited;
  for (const auto& each : this->limits) {
    limited.push_back(each.first);
  }
  return limited;
}

std::optional<Milliseconds>
EndpointLimits::UntilNextUnblocked(std::span<const std::string> aEndpoints)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  std::optional<Milliseconds> shortest;
  for (const std::string& endpoint : aEndpoints) {
    const auto found = this->limits.find(endpoint);
    if (found != this->limits.end() && found->second.blockedUntil > now) {
      const auto left = std::chrono::ceil<Milliseconds>(found->second.blockedUntil - now);
      shortest = shortest ? std::min(*shortest, left) : left;
    }
  }
  return shortest;
}

void
EndpointLimits::EvictOldest()
{
  if (this->limits.size() < this->settings.maximumEndpoints) {
    return;
  }
  this->limits.erase(std::min_element(this->limits.begin(), this->limits.end(),
                                      [](const auto& aLeft, const auto& aRight) {
                                        return aLeft.second.receivedAt < aRight.second.receivedAt;
                                      }));
}

} // namespace lagoonward
