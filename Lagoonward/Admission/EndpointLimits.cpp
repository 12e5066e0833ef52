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
EndpointLimits::OnNamed(std::string_view aEndpoint, double aPerSecond)
{
  if (aPerSecond > this->settings.largest) {
    this->OnNoneNamed(aEndpoint);
    return;
  }
  const std::lock_guard lock(this->mutex);
  this->MakeRoom();
  const auto [entry, isNew] = this->known.try_emplace(std::string(aEndpoint));
  if (isNew || entry->second.perSecond != aPerSecond) {
    kLog.Event("endpoint_limit", { { "endpoint", aEndpoint }, { "per_second", aPerSecond } });
  }
  entry->second.perSecond = aPerSecond;
  entry->second.heardAt = this->clock.Now();
}

void
EndpointLimits::OnNoneNamed(std::string_view aEndpoint)
{
  {
    const std::lock_guard lock(this->mutex);
    if (this->known.empty() || this->known.erase(std::string(aEndpoint)) == 0) {
      return;
    }
  }
  kLog.Event("endpoint_limit_lifted", { { "endpoint", aEndpoint } });
  if (this->lifted) {
    PermitRequest news;
    news.endpoint = HashBytes(aEndpoint);
    news.isLimited = false;
    news.wants = false;
    this->lifted(news);
  }
}

void
EndpointLimits::OnMalformed(std::string_view aEndpoint)
{
  const std::lock_guard lock(this->mutex);
  if (!std::exchange(this->malformedTold, true)) {
    kLog.Event(LogLevel::Warning, "endpoint_limit_malformed", { { "endpoint", aEndpoint } });
  }
}

void
EndpointLimits::OnLifted(std::function<void(const PermitRequest& aNews)> aListener)
{
  this->lifted = std::move(aListener);
}

std::optional<PermitRequest>
EndpointLimits::WantedPermit(std::string_view aEndpoint)
{
  const std::lock_guard lock(this->mutex);
  const auto found =
    this->known.empty() ? this->known.end() : this->known.find(std::string(aEndpoint));
  if (found == this->known.end()) {
    return std::nullopt;
  }
  PermitRequest request;
  request.endpoint = HashBytes(aEndpoint);
  request.perSecond = found->second.perSecond;
  request.age = std::chrono::floor<Milliseconds>(this->clock.Now() - found->second.heardAt).count();
  return request;
}

void
EndpointLimits::OnNoPermit(std::string_view aEndpoint, const PermitReply& aReply)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->known.find(std::string(aEndpoint));
  if (found == this->known.end()) {
    return;
  }
  if (aReply.answer == PermitAnswer::Unlimited) {
    this->known.erase(found);
    return;
  }
  const Milliseconds wait =
    aReply.answer == PermitAnswer::Wait ? Milliseconds(aReply.wait) : this->settings.unanswered;
  found->second.blockedUntil = this->clock.Now() + wait;
}

std::vector<std::string>
EndpointLimits::Blocked()
{
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> blocked;
  const TimePoint now = this->clock.Now();
  for (const auto& [endpoint, each] : this->known) {
    if (each.blockedUntil > now) {
      blocked.push_back(endpoint);
    }
  }
  return blocked;
}

std::vector<std::string>
EndpointLimits::Limited()
{
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> limited;
  for (const auto& each : this->known) {
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
    const auto found = this->known.find(endpoint);
    if (found != this->known.end() && found->second.blockedUntil > now) {
      const auto left = std::chrono::ceil<Milliseconds>(found->second.blockedUntil - now);
      shortest = shortest ? std::min(*shortest, left) : left;
    }
  }
  return shortest;
}

void
EndpointLimits::MakeRoom()
{
  if (this->known.size() < this->settings.maximumEndpoints) {
    return;
  }
  this->known.erase(std::min_element(this->known.begin(), this->known.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second.heardAt < aRight.second.heardAt;
                                     }));
}

} // namespace lagoonward
