#include "Lagoonward/Admission/EndpointNotices.h"

#include "Lagoonward/Core/Log.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

namespace {

const Log kLog("limits");

} // namespace

std::string_view
ToString(EndpointNotice aNotice)
{
  switch (aNotice) {
    case EndpointNotice::None:
      return "";
    case EndpointNotice::Leaving:
      return "leaving";
    case EndpointNotice::Resting:
      return "resting";
  }
  return "";
}

EndpointNotices::EndpointNotices(const EndpointNoticeSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
EndpointNotices::OnLeaving(std::uint64_t aKey, std::string_view aEndpoint)
{
  const std::lock_guard lock(this->mutex);
  State& state = this->FindOrCreate(aKey);
  state.receivedAt = this->clock.BootNow();
  if (!std::exchange(state.isLeaving, true)) {
    kLog.Event("endpoint_says_leaving", { { "endpoint", aEndpoint } });
  }
}

void
EndpointNotices::OnRest(std::uint64_t aKey, std::string_view aEndpoint, Milliseconds aTime)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.BootNow();
  State& state = this->FindOrCreate(aKey);
  if (state.restsUntil <= now) {
    kLog.Event("endpoint_rests", { { "endpoint", aEndpoint }, { "rest_ms", aTime.count() } });
  }
  state.receivedAt = now;
  state.restsUntil = std::max(state.restsUntil, now + aTime);
}

void
EndpointNotices::OnMalformedRest(std::string_view aEndpoint)
{
  const std::lock_guard lock(this->mutex);
  if (!std::exchange(this->isMalformedLogged, true)) {
    kLog.Event(LogLevel::Warning, "endpoint_rest_malformed", { { "endpoint", aEndpoint } });
  }
}

EndpointNotice
EndpointNotices::Find(std::uint64_t aKey)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->states.find(aKey);
  return found == this->states.end() ? EndpointNotice::None
                                     : NoticeOf(found->second, this->clock.BootNow());
}

int
EndpointNotices::Count(EndpointNotice aNotice)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.BootNow();
  return static_cast<int>(
    std::count_if(this->states.begin(), this->states.end(),
                  [&](const auto& aEach) { return NoticeOf(aEach.second, now) == aNotice; }));
}

EndpointNotice
EndpointNotices::NoticeOf(const State& aState, TimePoint aNow)
{
  if (aState.isLeaving) {
    return EndpointNotice::Leaving;
  }
  return aState.restsUntil > aNow ? EndpointNotice::Resting : EndpointNotice::None;
}

EndpointNotices::State&
EndpointNotices::FindOrCreate(std::uint64_t aKey)
{
  const auto found = this->states.find(aKey);
  if (found != this->states.end()) {
    return found->second;
  }
  if (this->states.size() >= this->settings.maximumEndpoints) {
    this->states.erase(std::min_element(this->states.begin(), this->states.end(),
                                        [](const auto& aLeft, const auto& aRight) {
                                          return aLeft.second.receivedAt < aRight.second.receivedAt;
                                        }));
  }
  return this->states[aKey];
}

} // namespace lagoonward
