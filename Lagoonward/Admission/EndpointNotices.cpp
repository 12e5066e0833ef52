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
    case EndpointNotice::Backoff:
      return "backoff";
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
  {
    const std::lock_guard lock(this->mutex);
    if (!this->SetLeaving(aKey, this->clock.BootNow())) {
      return;
    }
  }
  kLog.Event("endpoint_says_leaving", { { "endpoint", aEndpoint } });
  this->leavingListener();
}

bool
EndpointNotices::SetLeaving(std::uint64_t aKey, TimePoint aSince)
{
  State& state = this->FindOrCreate(aKey);
  state.receivedAt = this->clock.BootNow();
  if (state.leavingSince) {
    return false;
  }
  state.leavingSince = aSince;
  this->blocked.validUntil = TimePoint::min();
  return true;
}

void
EndpointNotices::OnBackoff(std::uint64_t aKey, std::string_view aEndpoint, Milliseconds aTime)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.BootNow();
  State& state = this->FindOrCreate(aKey);
  if (state.backoffUntil <= now) {
    kLog.Event("endpoint_backoff", { { "endpoint", aEndpoint }, { "backoff_ms", aTime.count() } });
  }
  state.receivedAt = now;
  this->blocked.validUntil = TimePoint::min();
  state.backoffUntil = std::max(state.backoffUntil, now + aTime);
  state.isRecovering = true;
  state.sends = 0;
  state.answers = 0;
}

void
EndpointNotices::OnSent(std::uint64_t aKey)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->states.empty() ? this->states.end() : this->states.find(aKey);
  if (found != this->states.end() && found->second.isRecovering &&
      found->second.backoffUntil <= this->clock.BootNow()) {
    ++found->second.sends;
    this->blocked.validUntil = TimePoint::min();
  }
}

void
EndpointNotices::OnAccepted(std::uint64_t aKey, TimePoint aSentAt)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->states.empty() ? this->states.end() : this->states.find(aKey);
  if (found == this->states.end() || !found->second.isRecovering) {
    return;
  }
  State& state = found->second;
  const TimePoint sentAt = aSentAt + (this->clock.BootNow() - this->clock.Now());
  if (sentAt < state.backoffUntil) {
    return;
  }
  ++state.answers;
  this->blocked.validUntil = TimePoint::min();
  if (state.answers >= this->settings.answersUntilRecovered) {
    state.isRecovering = false;
  }
}

int
EndpointNotices::AllowedSends(const State& aState, TimePoint aNow) const
{
  const auto intervals = (aNow - aState.backoffUntil) / this->settings.recoveryInterval;
  return 1 + 2 * aState.answers + static_cast<int>(intervals);
}

TimePoint
EndpointNotices::BlockedUntil(const State& aState, TimePoint aNow) const
{
  if (aState.leavingSince) {
    return TimePoint::max();
  }
  if (aState.backoffUntil > aNow || !aState.isRecovering ||
      aState.sends < this->AllowedSends(aState, aNow)) {
    return aState.backoffUntil;
  }
  const auto intervals = (aNow - aState.backoffUntil) / this->settings.recoveryInterval;
  return aState.backoffUntil + (intervals + 1) * this->settings.recoveryInterval;
}

void
EndpointNotices::OnMalformedBackoff(std::string_view aEndpoint)
{
  const std::lock_guard lock(this->mutex);
  if (!std::exchange(this->isMalformedLogged, true)) {
    kLog.Event(LogLevel::Warning, "endpoint_backoff_malformed", { { "endpoint", aEndpoint } });
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

std::vector<std::string>
EndpointNotices::BlockedEndpoints(const FleetSnapshotPtr& aFleet)
{
  const std::lock_guard lock(this->mutex);
  if (this->states.empty()) {
    return {};
  }
  if (this->blocked.fleet != aFleet || this->clock.BootNow() >= this->blocked.validUntil) {
    this->RefreshCache(aFleet);
  }
  return this->blocked.endpoints;
}

void
EndpointNotices::RefreshCache(const FleetSnapshotPtr& aFleet)
{
  const TimePoint now = this->clock.BootNow();
  this->blocked = { aFleet, TimePoint::max(), {} };
  for (const Endpoint& endpoint : aFleet->endpoints) {
    const auto found = this->states.find(EndpointKeyOf(endpoint));
    if (found == this->states.end() || endpoint.state != EndpointState::Live) {
      continue;
    }
    const TimePoint until = this->BlockedUntil(found->second, now);
    if (until > now) {
      this->blocked.endpoints.push_back(endpoint.id);
      this->blocked.validUntil = std::min(this->blocked.validUntil, until);
    }
  }
}

std::optional<Milliseconds>
EndpointNotices::UntilUnblocked(std::uint64_t aKey)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.BootNow();
  const auto found = this->states.find(aKey);
  if (found == this->states.end() || NoticeOf(found->second, now) != EndpointNotice::Backoff) {
    return std::nullopt;
  }
  return std::chrono::ceil<Milliseconds>(found->second.backoffUntil - now);
}

void
EndpointNotices::ApplyTo(FleetSnapshot& aFleet)
{
  const std::lock_guard lock(this->mutex);
  if (this->states.empty()) {
    return;
  }
  for (Endpoint& endpoint : aFleet.endpoints) {
    const auto found = this->states.find(EndpointKeyOf(endpoint));
    if (found != this->states.end() && found->second.leavingSince) {
      endpoint.state = EndpointState::Leaving;
    }
  }
}

std::vector<LeavingReport>
EndpointNotices::Reports()
{
  const std::lock_guard lock(this->mutex);
  std::vector<LeavingReport> reports;
  const TimePoint now = this->clock.BootNow();
  for (const auto& [key, state] : this->states) {
    if (state.leavingSince && now - *state.leavingSince <= this->settings.reportedFor) {
      const auto age = std::chrono::ceil<Milliseconds>(now - *state.leavingSince);
      reports.push_back({ key, static_cast<std::uint32_t>(age.count()) });
    }
  }
  return reports;
}

void
EndpointNotices::OnReports(std::span<const LeavingReport> aReports)
{
  int added = 0;
  {
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.BootNow();
    for (const LeavingReport& report : aReports) {
      const Milliseconds age(report.age);
      // An old report must not start another round through all daemons
      if (age <= this->settings.reportedFor && this->SetLeaving(report.endpoint, now - age)) {
        ++added;
      }
    }
  }
  if (added > 0) {
    kLog.Event("endpoints_reported_leaving", { { "count", added } });
    this->leavingListener();
  }
}

void
EndpointNotices::SetLeavingListener(std::function<void()> aListener)
{
  this->leavingListener = std::move(aListener);
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
  if (aState.leavingSince) {
    return EndpointNotice::Leaving;
  }
  return aState.backoffUntil > aNow ? EndpointNotice::Backoff : EndpointNotice::None;
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
