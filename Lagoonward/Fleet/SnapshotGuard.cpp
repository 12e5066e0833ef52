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
SnapshotGuard::SetAsOf(TimePoint aAsOf)
{
  const std::scoped_lock lock(this->mutex);
  this->asOf = std::max(this->asOf.value_or(aAsOf), aAsOf);
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
    kLog.Event(LogLevel::Warning, "requests_wait",
               { { "age_ms", MillisecondsBetween(*this->asOf, now) },
                 { "source_lost", this->isSourceLost } });
  }
  if (!this->isSourceLost && now < *this->staleSince + this->settings.refreshTimeout) {
    return false;
  }
  if (!std::exchange(this->hasLoggedOldSend, true)) {
    kLog.Event(LogLevel::Warning, "sends_on_old_snapshot",
               { { "age_ms", MillisecondsBetween(*this->asOf, now) },
                 { "source_lost", this->isSourceLost } });
  }
  return true;
}

} // namespace lagoonward
