#include "Lagoonward/Admission/EndpointLimits.h"

#include "Lagoonward/Core/Log.h"

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
  const auto [entry, isNew] = this->known.try_emplace(std::string(aEndpoint));
  if (isNew || entry->second.perSecond != aPerSecond) {
    kLog.Event("endpoint_limit", { { "endpoint", aEndpoint }, { "per_second", aPerSecond } });
  }
  entry->second = { aPerSecond, this->clock.Now() };
}

void
EndpointLimits::OnNoneNamed(std::string_view aEndpoint)
{
  const std::lock_guard lock(this->mutex);
  if (this->known.empty()) {
    return;
  }
  if (this->known.erase(std::string(aEndpoint)) > 0) {
    kLog.Event("endpoint_limit_lifted", { { "endpoint", aEndpoint } });
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

} // namespace lagoonward
