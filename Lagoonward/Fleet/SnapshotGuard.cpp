#include "Lagoonward/Fleet/SnapshotGuard.h"

#include "Lagoonward/Core/Log.h"

#include <algorithm>
#include <utility>

namespace lagoonward {

namespace {

const Log kLog("endpoints");

std::int64_t
MillisecondsBetween(TimePoint aBegin, TimePoint aEnd)
{
  return std::chrono::floor<Milliseconds>(aEnd - aBegin).count();
}

} // namespace

SnapshotGuard::SnapshotGuard(const SnapshotGuardSettings& aSettings, const Clock& aClock)
  : settings(aSettings)
  , clock(aClock)
{
}

void
SnapshotGuard::SetAsOf(TimePoint aAsOf, const SnapshotOrigin& aOrigin)
{
  const std::scoped_lock lock(this->mutex);
  if (!this->asOf || aAsOf >= *this->asOf) {
    this->origin = aOrigin;
  }
  this->asOf = std::max(this->asOf.value_or(aAsOf), aAsOf);
}

std::optional<TimePoint>
SnapshotGuard::AsOf()
{
  const std::scoped_lock lock(this->mutex);
  return this->asOf;
}

void
SnapshotGuard::OnSourceReachability(bool aAnswers)
{
  const std::scoped_lock lock(this->mutex);
  this->isSourceLost = !aAnswers;
}

void
SnapshotGuard::OnTick()
{
  const std::scoped_lock lock(this->mutex);
  const TimePoint now = this->clock.BootNow();
  this->DetectStandstill(now);
  this->lastTick = now;
}

void
SnapshotGuard::DetectStandstill(TimePoint aNow)
{
  if (!this->lastTick || aNow - *this->lastTick < this->settings.standstill) {
    return;
  }
  kLog.Event(LogLevel::Warning, "standstill",
             { { "paused_ms", MillisecondsBetween(*this->lastTick, aNow) } });
  this->lastTick = aNow;
  this->isSourceLost = false;
  this->staleSince.reset();
}

void
SnapshotGuard::LogOldSnapshot(std::string_view aEvent, TimePoint aNow) const
{
  kLog.Event(LogLevel::Warning, aEvent,
             { { "age_ms", MillisecondsBetween(*this->asOf, aNow) },
               { "source_lost", this->isSourceLost },
               { "from", this->origin.sender },
               { "reader", this->origin.reader },
               { "age_on_arrival_ms", this->origin.age.count() } });
}

bool
SnapshotGuard::MaySend()
{
  const std::scoped_lock lock(this->mutex);
  if (!this->asOf) {
    return true;
  }
  const TimePoint now = this->clock.BootNow();
  this->DetectStandstill(now);
  if (now - *this->asOf <= this->settings.maximumAge) {
    this->staleSince.reset();
    return true;
  }
  if (!this->staleSince) {
    this->staleSince = now;
    this->hasLoggedOldSend = false;
    this->LogOldSnapshot("requests_wait", now);
  }
  if (!this->isSourceLost && now < *this->staleSince + this->settings.refreshTimeout) {
    return false;
  }
  if (!std::exchange(this->hasLoggedOldSend, true)) {
    this->LogOldSnapshot("sends_on_old_snapshot", now);
  }
  return true;
}

} // namespace lagoonward
