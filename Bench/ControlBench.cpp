#include "Bench/ControlBench.h"

#include "Bench/ClaimCost.h"
#include "Bench/ControlFleet.h"
#include "Bench/LinearFit.h"
#include "Bench/ReadCost.h"

#include <fmt/format.h>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <thread>

namespace lagoonward::bench {

namespace {

/// Settings of the benchmark; the arguments set the sizes, the measured time and the output format.
struct ControlBenchSettings
{
  std::vector<FleetSize> sizes;
  Seconds settleTime{ 12 };          ///< Between the start and the steady-state measurement.
  Seconds measuredTime{ 15 };        ///< Length of the steady-state measurement.
  std::size_t stateBytes = 8192;     ///< About the size of a manifest.
  std::size_t rounds = 20;           ///< Repetitions of each propagation measurement.
  std::size_t recordsPerSecond = 20; ///< Soft records that each daemon places.
  Seconds recordDuration{ 4 };
  /// Soft records are measured up to this number of daemons.
  std::size_t maxDaemonsForRecords = 100;
  bool json = false;
};

/// Measurements of one fleet size: means over its daemons unless a comment or a name (worst) says otherwise.
struct ControlFigures
{
  FleetSize size;
  double sentPerSecond = 0;
  double receivedPerSecond = 0;
  double worstSentPerSecond = 0;
  double worstReceivedPerSecond = 0;
  double datagramsPerSecond = 0; ///< Datagrams sent.
  double cpuShare = 0;           ///< Fraction of one core.
  double worstCpuShare = 0;
  double residentBytes = 0; ///< Per daemon.
  double polledEndpoints = 0;
  double bytesPerRecord = 0;    ///< Sent by both daemons per placed soft record, response included.
  double cpuPerRecord = 0;      ///< Seconds, sum over both daemons.
  std::vector<double> loadAges; ///< Milliseconds, as in the vectors below; one entry per sample.
  std::vector<double> reclaim;
  std::vector<double> domainReclaim;
  std::vector<double> stateWithLog;
  std::vector<double> stateWithoutLog;
  std::vector<double> newHost;
  std::vector<double> daemonFailure;
  double sharedListBytes = 0; ///< Size of the host list that is distributed within a region.
  /// Daemons that a change did not reach before its timeout, over all changes.
  std::size_t unreached = 0;
};

double
ResidentBytes()
{
  // Return memory freed by earlier sizes to the system: its reuse would hide what this size allocates
  malloc_trim(0);
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double
Quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return -1;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(std::ceil(aFraction * last))];
}

void
Append(std::vector<double>& aTarget, const std::vector<double>& aValues, std::size_t aExpected,
       ControlFigures& aFigures)
{
  aTarget.insert(aTarget.end(), aValues.begin(), aValues.end());
  aFigures.unreached += aExpected - std::min(aExpected, aValues.size());
}

double
PerSecond(std::uint64_t aAfter, std::uint64_t aBefore, double aSeconds)
{
  return static_cast<double>(aAfter - aBefore) / aSeconds;
}

/// Bytes sent and processor time, summed over all daemons.
struct FleetTotals
{
  double bytesSent = 0;
  double cpuSeconds = 0;
};

FleetTotals
Total(ControlFleet& aFleet)
{
  FleetTotals totals;
  for (const ControlUsage& usage : aFleet.Usage()) {
    totals.bytesSent +=
      static_cast<double>(usage.counters.datagramBytesSent + usage.counters.streamBytesSent);
    totals.cpuSeconds += std::chrono::duration<double>(usage.cpu).count();
  }
  return totals;
}

/// Measures the cost of soft records in addition to the steady state.
void
MeasureRecords(ControlFleet& aFleet, const ControlBenchSettings& aSettings,
               ControlFigures& aFigures)
{
  const FleetTotals before = Total(aFleet);
  const TimePoint start = aFleet.GetClock().Now();
  const auto placed =
    static_cast<double>(aFleet.PlaceRecords(aSettings.recordsPerSecond, aSettings.recordDuration));
  const FleetTotals after = Total(aFleet);
  const double seconds = std::chrono::duration<double>(aFleet.GetClock().Now() - start).count();
  const double daemons = static_cast<double>(aFigures.size.daemons);
  const double idleBytes = aFigures.sentPerSecond * daemons * seconds;
  const double idleCpu = aFigures.cpuShare * daemons * seconds;
  aFigures.bytesPerRecord = (after.bytesSent - before.bytesSent - idleBytes) / placed;
  aFigures.cpuPerRecord = (after.cpuSeconds - before.cpuSeconds - idleCpu) / placed;
}

void
MeasureSteadyState(ControlFleet& aFleet, Seconds aDuration, ControlFigures& aFigures)
{
  const auto before = aFleet.Usage();
  const TimePoint start = aFleet.GetClock().Now();
  std::this_thread::sleep_for(aDuration);
  const auto after = aFleet.Usage();
  const double seconds = std::chrono::duration<double>(aFleet.GetClock().Now() - start).count();
  const auto count = static_cast<double>(after.size());
  for (std::size_t index = 0; index < after.size(); ++index) {
    const TransportCounters& now = after[index].counters;
    const TransportCounters& then = before[index].counters;
    const double sent = PerSecond(now.datagramBytesSent + now.streamBytesSent,
                                  then.datagramBytesSent + then.streamBytesSent, seconds);
    const double received =
      PerSecond(now.datagramBytesReceived + now.streamBytesReceived,
                then.datagramBytesReceived + then.streamBytesReceived, seconds);
    const double cpu =
      std::chrono::duration<double>(after[index].cpu - before[index].cpu).count() / seconds;
    aFigures.sentPerSecond += sent / count;
    aFigures.receivedPerSecond += received / count;
    aFigures.datagramsPerSecond +=
      PerSecond(now.datagramsSent, then.datagramsSent, seconds) / count;
    aFigures.cpuShare += cpu / count;
    aFigures.polledEndpoints += static_cast<double>(after[index].polledEndpoints) / count;
    aFigures.loadAges.insert(aFigures.loadAges.end(), after[index].loadAges.begin(),
                             after[index].loadAges.end());
    aFigures.worstSentPerSecond = std::max(aFigures.worstSentPerSecond, sent);
    aFigures.worstReceivedPerSecond = std::max(aFigures.worstReceivedPerSecond, received);
    aFigures.worstCpuShare = std::max(aFigures.worstCpuShare, cpu);
  }
}

void
MeasurePropagation(ControlFleet& aFleet, const ControlBenchSettings& aSettings,
                   ControlFigures& aFigures)
{
  const FleetSize size = aFigures.size;
  const std::size_t daemonsPerRegion = (size.daemons + size.regions - 1) / size.regions;
  const std::size_t endpoints = size.endpoints / size.regions;
  for (std::size_t round = 0; round < aSettings.rounds; ++round) {
    const std::size_t publisher = round * 7 % size.daemons;
    Append(aFigures.stateWithoutLog,
           aFleet.MeasureStatePropagation(publisher, aSettings.stateBytes), size.daemons, aFigures);
    Append(aFigures.stateWithLog, aFleet.MeasureLogPropagation(aSettings.stateBytes), size.daemons,
           aFigures);
  }
  Append(aFigures.newHost, aFleet.MeasureHostPropagation(), daemonsPerRegion, aFigures);
  aFigures.sharedListBytes = static_cast<double>(aFleet.SharedHostListBytes());
  // Report endpoints one by one first, then all others of half of the region's endpoints at once
  const std::size_t singleCount = std::min(aSettings.rounds, endpoints / 4);
  for (std::size_t index = 0; index < singleCount; ++index) {
    Append(aFigures.reclaim, aFleet.MeasureReclaimPropagation(std::array{ index }),
           daemonsPerRegion, aFigures);
  }
  std::vector<std::size_t> remainingEndpoints;
  for (std::size_t index = singleCount; index < endpoints / 2; ++index) {
    remainingEndpoints.push_back(index);
  }
  Append(aFigures.domainReclaim, aFleet.MeasureReclaimPropagation(remainingEndpoints),
         daemonsPerRegion, aFigures);
  Append(aFigures.daemonFailure, aFleet.MeasureFailureDetection(size.daemons / 2),
         daemonsPerRegion - 1, aFigures);
}

Result<ControlFigures>
Measure(const FleetSize& aSize, const ControlBenchSettings& aSettings)
{
  std::cerr << fmt::format("control: {} daemons, {} endpoints, {} regions\n", aSize.daemons,
                           aSize.endpoints, aSize.regions);
  ControlFigures figures;
  figures.size = aSize;
  const double residentBefore = ResidentBytes();
  ControlFleet fleet(aSize);
  auto started = fleet.Start();
  if (!started) {
    return started.error();
  }
  std::this_thread::sleep_for(aSettings.settleTime);
  MeasureSteadyState(fleet, aSettings.measuredTime, figures);
  figures.residentBytes = (ResidentBytes() - residentBefore) / static_cast<double>(aSize.daemons);
  std::cerr << fmt::format("  sent {:.0f} B/s, received {:.0f} B/s, processor {:.3f}%\n",
                           figures.sentPerSecond, figures.receivedPerSecond,
                           100 * figures.cpuShare);
  // Each daemon connects to half of its region: more daemons would exceed the descriptor limit of a process
  if (aSize.daemons <= aSettings.maxDaemonsForRecords) {
    MeasureRecords(fleet, aSettings, figures);
  }
  MeasurePropagation(fleet, aSettings, figures);
  std::cerr << fmt::format(
    "  known on all: reclaim p99 {:.1f} ms, state without log p99 {:.1f} ms\n",
    Quantile(figures.reclaim, 0.99), Quantile(figures.stateWithoutLog, 0.99));
  return figures;
}

nlohmann::json
TimesToJson(const std::vector<double>& aTimes)
{
  return { { "p50_ms", Quantile(aTimes, 0.5) },
           { "p99_ms", Quantile(aTimes, 0.99) },
           { "max_ms", Quantile(aTimes, 1) },
           { "samples", aTimes.size() } };
}

nlohmann::json
ToJson(const ControlFigures& aFigures)
{
  return { { "daemons", aFigures.size.daemons },
           { "endpoints", aFigures.size.endpoints },
           { "regions", aFigures.size.regions },
           { "sent_bytes_per_second", aFigures.sentPerSecond },
           { "received_bytes_per_second", aFigures.receivedPerSecond },
           { "worst_sent_bytes_per_second", aFigures.worstSentPerSecond },
           { "worst_received_bytes_per_second", aFigures.worstReceivedPerSecond },
           { "datagrams_sent_per_second", aFigures.datagramsPerSecond },
           { "cpu_share", aFigures.cpuShare },
           { "worst_cpu_share", aFigures.worstCpuShare },
           { "resident_bytes", aFigures.residentBytes },
           { "endpoints_polled", aFigures.polledEndpoints },
           { "load_age", TimesToJson(aFigures.loadAges) },
           { "bytes_per_soft_record", aFigures.bytesPerRecord },
           { "cpu_seconds_per_soft_record", aFigures.cpuPerRecord },
           { "reclaim_known", TimesToJson(aFigures.reclaim) },
           { "domain_reclaim_known", TimesToJson(aFigures.domainReclaim) },
           { "state_in_force_with_log", TimesToJson(aFigures.stateWithLog) },
           { "state_in_force_without_log", TimesToJson(aFigures.stateWithoutLog) },
           { "new_host_known", TimesToJson(aFigures.newHost) },
           { "shared_host_list_bytes", aFigures.sharedListBytes },
           { "death_removed", TimesToJson(aFigures.daemonFailure) },
           { "unreached", aFigures.unreached } };
}

/// Linear fit over the sizes: constant, slope per daemon of a region, slope per endpoint of a region.
nlohmann::json
SlopesToJson(const std::vector<ControlFigures>& aFigures)
{
  const auto fit = [&](double ControlFigures::*aField) -> nlohmann::json {
    LinearFit fitted;
    for (const ControlFigures& figures : aFigures) {
      const auto regions = static_cast<double>(figures.size.regions);
      fitted.Add(static_cast<double>(figures.size.daemons) / regions,
                 static_cast<double>(figures.size.endpoints) / regions, figures.*aField);
    }
    const auto plane = fitted.Solve();
    if (!plane) {
      return nullptr;
    }
    return { { "constant", plane->constant },
             { "per_daemon", plane->first },
             { "per_endpoint", plane->second },
             { "largest_residual", plane->largestResidual } };
  };
  return { { "sent_bytes_per_second", fit(&ControlFigures::sentPerSecond) },
           { "received_bytes_per_second", fit(&ControlFigures::receivedPerSecond) },
           { "cpu_share", fit(&ControlFigures::cpuShare) },
           { "resident_bytes", fit(&ControlFigures::residentBytes) } };
}

/// Cost of HTTP reads: of an engine's load, and of the host list, per host in it.
nlohmann::json
MeasureReads()
{
  constexpr std::size_t kLoadRounds = 500;
  constexpr std::size_t kListRounds = 20;
  constexpr std::size_t kSmallList = 21;
  constexpr std::size_t kLargeList = 1260;
  const auto load = MeasureLoadRead(kLoadRounds);
  const auto small = MeasureHostListRead(kSmallList, kListRounds);
  const auto large = MeasureHostListRead(kLargeList, kListRounds);
  if (!load || !small || !large) {
    return nullptr;
  }
  const double hosts = static_cast<double>(kLargeList - kSmallList);
  return { { "load_body_bytes", load.value().bodyBytes },
           { "load_cpu_seconds", load.value().cpuSeconds },
           { "host_list_bytes_per_host",
             (large.value().bodyBytes - small.value().bodyBytes) / hosts },
           { "host_list_cpu_seconds_per_host",
             (large.value().cpuSeconds - small.value().cpuSeconds) / hosts },
           { "host_list_1260_cpu_seconds", large.value().cpuSeconds } };
}

/// Cost of claims of non-idempotent requests to the daemon that batches their shard.
nlohmann::json
MeasureClaimCosts()
{
  constexpr std::size_t kClaims = 200'000;
  constexpr std::size_t kBatch = 32;
  const ClaimCost cost = MeasureClaims(kClaims, kBatch);
  return { { "record_bytes", cost.recordBytes },
           { "heap_bytes", cost.heapBytes },
           { "write_cpu_seconds", cost.writeCpuSeconds },
           { "fold_cpu_seconds", cost.applyCpuSeconds } };
}

ControlBenchSettings
ReadArguments(std::span<const std::string> aArguments)
{
  ControlBenchSettings settings;
  for (const std::size_t daemons : { 8, 32, 100 }) {
    for (const std::size_t endpoints : { 13, 100, 293 }) {
      settings.sizes.push_back({ daemons, endpoints, 1 });
    }
  }
  for (std::size_t index = 0; index < aArguments.size(); ++index) {
    const std::string_view argument = aArguments[index];
    if (argument == "--json") {
      settings.json = true;
    } else if (argument == "--quick") {
      settings.sizes = { { 8, 13, 1 } };
    } else if (argument == "--full") {
      settings.sizes = { { 380, 880, 3 } };
    } else if (argument == "--size" && index + 3 < aArguments.size()) {
      const auto read = [&] {
        return static_cast<std::size_t>(std::atoi(std::string(aArguments[++index]).c_str()));
      };
      FleetSize size;
      size.daemons = std::max<std::size_t>(2, read());
      size.endpoints = read();
      size.regions = std::max<std::size_t>(1, read());
      settings.sizes = { size };
    } else if (argument == "--seconds" && index + 1 < aArguments.size()) {
      settings.measuredTime = Seconds(std::atoi(std::string(aArguments[++index]).c_str()));
    } else {
      std::cerr << "control: unknown argument " << argument << '\n';
      settings.sizes.clear();
      return settings;
    }
  }
  return settings;
}

void
RaiseDescriptorLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

} // namespace

int
RunControlBench(std::span<const std::string> aArguments)
{
  const ControlBenchSettings settings = ReadArguments(aArguments);
  if (settings.sizes.empty()) {
    return 2;
  }
  RaiseDescriptorLimit();
  std::vector<ControlFigures> allFigures;
  for (const FleetSize& size : settings.sizes) {
    auto figures = Measure(size, settings);
    if (!figures) {
      std::cerr << "control: " << figures.error().message << '\n';
      return 1;
    }
    allFigures.push_back(std::move(figures.value()));
  }
  nlohmann::json document{ { "bench", "control" },
                           { "sizes", nlohmann::json::array() },
                           { "slopes", SlopesToJson(allFigures) },
                           { "claims", MeasureClaimCosts() },
                           { "reads", MeasureReads() } };
  for (const ControlFigures& figures : allFigures) {
    document["sizes"].push_back(ToJson(figures));
  }
  std::cout << (settings.json ? document.dump() : document.dump(2)) << '\n';
  return 0;
}

} // namespace lagoonward::bench
