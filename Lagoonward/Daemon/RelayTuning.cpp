#include "Lagoonward/Daemon/RelayTuning.h"

namespace lagoonward {

namespace {

/// A second of answer time against a second of engine time.
constexpr double kLatencyWorth = 1;

/// A session's prompt is read at its home endpoint unless waiting there costs more than this many times
/// its reading.
constexpr double kHomePull = 12;

/// A short lease: usage is due within ten seconds, so a dead leader must be succeeded in about five. It
/// costs three appends in four seconds in all: as few as leave time for a second try.
constexpr LeaseSettings kLease{ .duration = Milliseconds(3000),
                                .renewAfter = Milliseconds(1300),
                                .handover = Milliseconds(700),
                                .retryInterval = Milliseconds(400),
                                .rankDelay = Milliseconds(400),
                                .candidates = 3 };
constexpr Milliseconds kLeaseWait{ 900 };
constexpr Milliseconds kLeaseRetryPause{ 200 };

/// Those that stand too far behind to lead look seldom: who may lead they know by rank.
constexpr Milliseconds kSpectatorPause{ 20'000 };

/// Beyond the time in which orders may not go to and fro, for the call itself to arrive.
constexpr Milliseconds kQuietMargin{ 300 };

/// Parts of what is tolerated over a client's limit that admission hands out. The rest is for what was admitted at
/// different moments and reaches endpoints at one.
constexpr double kToleranceUsed = 0.8;
constexpr double kSlackUsed = 0.5;

} // namespace

MarketSettings
MarketSettingsOf(const RelayDaemonSettings& aSettings)
{
  MarketSettings market;
  // Sizing sees to it that no endpoint idles, so requests need not be packed
  market.routing.packing = 0;
  market.routing.latencyWorth = kLatencyWorth;
  market.routing.ranksPreempt = false;
  market.routing.homePull = kHomePull;
  // Half of what may be repeated beyond the ratio is saved up, the other half comes with time, so that
  // no window holds more than both
  const double window = static_cast<double>(aSettings.retryWindow.count());
  market.retries.perSuccess = aSettings.retryRatio * 0.75;
  market.retries.capacity = aSettings.retrySlack / 2;
  market.retries.perSecond = aSettings.retrySlack / 2 / window / 2;
  market.admission.limitTolerance = aSettings.limitTolerance * kToleranceUsed;
  market.admission.limitSlack = aSettings.limitSlack * kSlackUsed;
  market.admission.pooled = true;
  return market;
}

DutySettings
DutySettingsOf(const RelayDaemonSettings& aSettings)
{
  DutySettings duty;
  duty.quiet = aSettings.leaseQuiet + kQuietMargin;
  duty.lease.leaseWait = kLeaseWait;
  duty.lease.spectatorPause = kSpectatorPause;
  duty.lease.leaseRetryPause = kLeaseRetryPause;
  duty.lease.lease = kLease;
  return duty;
}

} // namespace lagoonward
