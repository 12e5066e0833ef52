#include "Lagoonward/Daemon/RelayTuning.h"

#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Wire/HttpServer.h"

#include <algorithm>
#include <optional>

namespace lagoonward {

namespace {

/// A second of answer time is worth as much as a second of engine time.
constexpr double kLatencyWorth = 1;

/// A session's prompt is prefilled at its home endpoint unless waiting there costs more than this many times its
/// prefill.
constexpr double kHomePull = 12;

/// A short lease: usage is due within ten seconds, so another daemon must take over from a failed leader in about five.
/// The lease costs three appends in four seconds in total, the fewest that leave time for a second attempt.
constexpr LeaseSettings kLease{ .duration = Milliseconds(3000),
                                .renewAfter = Milliseconds(1300),
                                .handover = Milliseconds(700),
                                .retryInterval = Milliseconds(400),
                                .rankDelay = Milliseconds(400),
                                .candidates = 3 };
constexpr Milliseconds kLeaseWait{ 900 };
constexpr Milliseconds kLeaseRetryPause{ 200 };

/// Daemons whose rank is too high to become leader poll the lease rarely: they know the candidates by rank.
constexpr Milliseconds kSpectatorPause{ 20'000 };

/// Added to the time in which orders of two leaders must not alternate, for the call itself to arrive.
constexpr Milliseconds kQuietMargin{ 300 };

/// Shares of the tolerated excess over a client's limit that admission gives out. The rest covers requests that were
/// admitted at different times and reach endpoints at the same time, runs beyond the first of a request, and the advance
/// of a reserve after a restart of all daemons.
constexpr double kToleranceShare = 0.5;
constexpr double kSlackShare = 0.5;

constexpr double kBytesPerMegabyte = 1U << 20U;
/// Shares of a process's memory for the responses on their way, for requests, and for connections without a request. The
/// rest is for the daemon's own state, and for what the allocator cannot reuse.
constexpr double kResponseMemoryShare = 0.25;
constexpr double kRequestMemoryShare = 0.25;
constexpr double kConnectionMemoryShare = 0.125;
/// Largest responses, or requests, that fit into their memory however little it is.
constexpr std::size_t kMinimumResponses = 2;
/// Memory of a connection without a request, in the HTTP library.
constexpr std::size_t kIdleConnectionBytes = 8U << 10U;

/// Descriptors that hosts may reserve for files, and the largest part of all that is taken for them.
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kFileDivisor = 8;
/// Parts of the other descriptors: for connections that the daemon opens, and for probes. Half of the first is for those that
/// other daemons open.
constexpr std::size_t kOutgoingDivisor = 4;
constexpr std::size_t kProbeDivisor = 64;
constexpr std::size_t kMinimumProbes = 4;
constexpr std::size_t kMaximumProbes = 32;
/// Part of the accepted connections that is for requests of other daemons.
constexpr std::size_t kForwardedDivisor = 4;
constexpr std::size_t kMaximumCallers = 4096;
constexpr std::size_t kServers = 4;

/// A share of the memory of a process, in bytes; nothing if that is not known.
std::optional<std::size_t>
MemoryShare(const RelayDaemonSettings& aSettings, double aShare)
{
  if (aSettings.memoryMegabytes <= 0) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(aSettings.memoryMegabytes * kBytesPerMegabyte * aShare);
}

} // namespace

MarketSettings
MarketSettingsOf(const RelayDaemonSettings& aSettings)
{
  MarketSettings market;
  // Sizing ensures that no endpoint is idle, so requests need not be packed
  market.routing.packing = 0;
  market.routing.latencyWeight = kLatencyWorth;
  market.routing.ranksPreempt = false;
  market.routing.homeAffinity = kHomePull;
  // Half of the retries that are allowed beyond the ratio is the capacity of the budget, the other half is refilled
  // over time, so that no window contains more than both
  const double window = static_cast<double>(aSettings.retryWindow.count());
  market.retries.perSuccess = aSettings.retryRatio * 0.75;
  market.retries.capacity = aSettings.retrySlack / 2;
  market.retries.perSecond = aSettings.retrySlack / 2 / window / 2;
  market.admission.limitTolerance = aSettings.limitTolerance * kToleranceShare;
  market.admission.limitSlack = aSettings.limitSlack * kSlackShare;
  market.admission.pooled = true;
  return market;
}

RelaySettings
RelaySettingsOf(const RelayDaemonSettings& aSettings)
{
  RelaySettings relay;
  relay.leavingNotice = aSettings.leavingNotice;
  if (const auto bytes = MemoryShare(aSettings, kResponseMemoryShare)) {
    relay.maximumResponseMemory = std::max(*bytes, relay.maximumResponseBytes * kMinimumResponses);
  }
  return relay;
}

ConnectionLimits
ConnectionLimitsOf(const RelayDaemonSettings& aSettings, std::size_t aProcessDescriptors)
{
  const std::size_t stated =
    aSettings.maximumDescriptors > 0 ? aSettings.maximumDescriptors : aProcessDescriptors;
  const std::size_t all = std::min(stated, aProcessDescriptors);
  const std::size_t sockets = all - std::min(kFileDescriptors, all / kFileDivisor);
  const std::size_t outgoing = sockets / kOutgoingDivisor;
  const std::size_t probes = std::clamp(sockets / kProbeDivisor, kMinimumProbes, kMaximumProbes);
  const std::size_t reserved = outgoing + 2 * probes + kServers * HttpServer::kSpareConnections;
  std::size_t accepted = sockets - std::min(sockets, reserved);
  if (const auto bytes = MemoryShare(aSettings, kConnectionMemoryShare)) {
    accepted = std::min(accepted, *bytes / kIdleConnectionBytes);
  }
  const std::size_t forwarded = accepted / kForwardedDivisor;
  ConnectionLimits limits;
  limits.callers =
    static_cast<unsigned>(std::clamp<std::size_t>(accepted - forwarded, 1, kMaximumCallers));
  limits.forwarded = static_cast<unsigned>(std::max<std::size_t>(forwarded, 1));
  limits.probes = static_cast<unsigned>(probes);
  limits.peers =
    std::clamp<std::size_t>(outgoing / 2, 1, PeerTransportSettings().maximumConnections);
  return limits;
}

ConnectionTableSettings
ConnectionTableSettingsOf(const RelayDaemonSettings& aSettings)
{
  ConnectionTableSettings table;
  if (const auto bytes = MemoryShare(aSettings, kRequestMemoryShare)) {
    table.maximumRequestMemory =
      std::max(*bytes, HttpLimits().maximumBodyBytes * kMinimumResponses);
  }
  return table;
}

LeaderTaskSettings
LeaderTaskSettingsOf(const RelayDaemonSettings& aSettings)
{
  LeaderTaskSettings leaderTask;
  leaderTask.quietPeriod = aSettings.leaseQuiet + kQuietMargin;
  leaderTask.lease.leaseReadWait = kLeaseWait;
  leaderTask.lease.nonCandidateReadInterval = kSpectatorPause;
  leaderTask.lease.leaseRetryPause = kLeaseRetryPause;
  leaderTask.lease.lease = kLease;
  return leaderTask;
}

} // namespace lagoonward
