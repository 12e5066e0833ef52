#include "Bench/ClaimsBench.h"

#include "Bench/VirtualLog.h"
#include "Lagoonward/Claims/ClaimBatcher.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <iostream>
#include <random>

namespace lagoonward::bench {

namespace {

namespace po = boost::program_options;

constexpr int kExitUsage = 2;
constexpr double kNanosecondsPerMicrosecond = 1e3;
constexpr double kTakeoverShare = 0.05;
constexpr std::array kShares{ 0.01, 0.05, 0.1, 0.5, 1.0 };
const std::string kStream = "claims/bench/0";

/// Command-line options.
struct Options
{
  double requestsPerSecond = 3800;
  int regions = 3;
  int daemons = 380;
  int latencyMs = 20;
  int seconds = 60;
  bool json = false;
};

/// Measurements of one shard at one claim rate.
struct ShardResult
{
  double share = 0; ///< Fraction of the requests that are non-idempotent.
  double claimsPerSecond = 0;
  double appendsPerSecond = 0;
  double claimsPerAppend = 0;
  double bytesPerClaim = 0;
  double waitP50 = 0; ///< Milliseconds, including the log's latency.
  double waitP99 = 0;
  double cpuPerClaim = 0; ///< Microseconds of this thread, including codec and benchmark.
  int refused = 0;
};

double
ThreadMicroseconds()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / kNanosecondsPerMicrosecond;
}

double
Quantile(std::vector<double>& aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(aFraction * static_cast<double>(aValues.size() - 1))];
}

Claim
MakeClaim(std::mt19937_64& aRandom, std::uint64_t aSequence, int aDaemons)
{
  const auto daemon = aRandom() % static_cast<std::uint64_t>(aDaemons);
  return { { aRandom(), aRandom() },
           aRandom(),
           { fmt::format("daemon-{:03}#{:016x}", daemon, daemon * 7919), aSequence } };
}

/// Claims per second in one shard.
double
ShardRate(const Options& aOptions, double aShare)
{
  return aOptions.requestsPerSecond * aShare /
         (aOptions.regions * static_cast<double>(kClaimShards));
}

/// Runs the batcher of one shard with Poisson arrivals for aOptions.seconds of virtual time.
ShardResult
RunShard(const Options& aOptions, double aShare)
{
  const double rate = ShardRate(aOptions, aShare);
  VirtualClock clock;
  VirtualLog log(clock, Milliseconds(aOptions.latencyMs));
  const ClaimSettings settings;
  ClaimBatcher batcher(kStream, "bench", settings, log, clock);
  std::mt19937_64 random(1);
  std::exponential_distribution<double> interarrival(rate);
  const auto drawInterarrival = [&] {
    return std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::duration<double>(interarrival(random)));
  };

  // Submit all claims that are due, including those that arrived during a log call
  ShardResult result;
  std::vector<double> waits;
  std::uint64_t sequence = 0;
  const TimePoint begin = clock.Now();
  const TimePoint end = begin + Seconds(aOptions.seconds);
  TimePoint arrival = begin + drawInterarrival();
  const double cpuBefore = ThreadMicroseconds();
  while (clock.Now() < end) {
    for (; arrival <= clock.Now(); arrival += drawInterarrival()) {
      batcher.Submit(MakeClaim(random, sequence++, aOptions.daemons),
                     arrival + settings.claimTimeout, [&, arrival](const ClaimAnswer& aAnswer) {
                       const std::chrono::duration<double, std::milli> wait = clock.Now() - arrival;
                       waits.push_back(wait.count());
                       result.refused += aAnswer.verdict == ClaimAnswer::Verdict::Won ? 0 : 1;
                     });
    }
    const auto nextStepDelay = batcher.Step();
    const bool isIdle = nextStepDelay >= settings.idleWait;
    clock.Advance(isIdle ? arrival - clock.Now() : TimePoint::duration(nextStepDelay));
  }
  const double cpu = ThreadMicroseconds() - cpuBefore;

  // Compute the means and quantiles
  const auto counters = batcher.GetCounters();
  const auto claims = static_cast<double>(std::max<std::uint64_t>(counters.claims, 1));
  std::size_t bytes = 0;
  for (const std::string& record : log.Records()) {
    bytes += record.size();
  }
  result.share = aShare;
  result.claimsPerSecond = claims / aOptions.seconds;
  result.appendsPerSecond = static_cast<double>(counters.appends) / aOptions.seconds;
  result.claimsPerAppend =
    claims / static_cast<double>(std::max<std::uint64_t>(counters.appends, 1));
  result.bytesPerClaim = static_cast<double>(bytes) / claims;
  result.waitP50 = Quantile(waits, 0.5);
  result.waitP99 = Quantile(waits, 0.99);
  result.cpuPerClaim = cpu / claims;
  return result;
}

/// Cost of a takeover: a batcher loads the ledger of a shard that another batcher had.
struct LedgerResult
{
  int records = 0;
  double keys = 0;
  double bytesPerKey = 0;
  double loadMicroseconds = 0; ///< Parsing one claim and applying it to the ledger.
  /// Reading the stream, in virtual time, plus applying it, in real time.
  double takeoverSeconds = 0;
};

/// Measures the takeover of a shard that holds the claims of one key lifetime at kTakeoverShare, one per
/// record.
LedgerResult
MeasureLedger(const Options& aOptions)
{
  const ClaimSettings settings;
  VirtualClock clock;
  VirtualLog log(clock, Milliseconds(aOptions.latencyMs));
  const double lifetime = std::chrono::duration<double>(settings.keyLifetime).count();
  LedgerResult result;
  result.records = static_cast<int>(ShardRate(aOptions, kTakeoverShare) * lifetime);
  std::mt19937_64 random(2);
  for (int index = 0; index < result.records; ++index) {
    const auto sequence = static_cast<std::uint64_t>(index);
    ClaimRecord record{ { "bench", sequence }, clock.WallNow(), {}, {} };
    record.claims.push_back(MakeClaim(random, sequence, aOptions.daemons));
    static_cast<void>(log.Append(kStream, WriteClaimRecord(record)));
  }

  // Memory and processor time of applying the records, without the log
  const auto bytesBefore = mallinfo2().uordblks;
  const double applyCpuBefore = ThreadMicroseconds();
  {
    ClaimLedger ledger(settings.keyLifetime);
    for (const std::string& record : log.Records()) {
      ledger.Apply(ledger.NextOffset(), record);
    }
    result.keys = static_cast<double>(ledger.Size());
    result.loadMicroseconds = (ThreadMicroseconds() - applyCpuBefore) / result.keys;
    result.bytesPerKey = static_cast<double>(mallinfo2().uordblks - bytesBefore) / result.keys;
  }

  // The complete takeover: the log's latency and the daemon's processing of each page
  ClaimBatcher batcher(kStream, "successor", settings, log, clock);
  const TimePoint begin = clock.Now();
  const double cpuBefore = ThreadMicroseconds();
  batcher.Submit(MakeClaim(random, 0, aOptions.daemons), clock.BootNow() + std::chrono::hours(1),
                 [](const ClaimAnswer&) {});
  static_cast<void>(batcher.Step());
  const std::chrono::duration<double> virtualDuration = clock.Now() - begin;
  result.takeoverSeconds = virtualDuration.count() + (ThreadMicroseconds() - cpuBefore) / 1e6;
  return result;
}

bool
ReadOptions(std::span<const std::string> aArguments, Options& aOptions)
{
  po::options_description options("lagoonward-bench claims");
  // clang-format off
  options.add_options()
    ("help", "print this text")
    ("json", po::bool_switch(&aOptions.json), "print JSON")
    ("requests", po::value(&aOptions.requestsPerSecond), "requests a second, all regions together")
    ("regions", po::value(&aOptions.regions), "regions, each with its own shards")
    ("daemons", po::value(&aOptions.daemons), "daemons that claim")
    ("latency-ms", po::value(&aOptions.latencyMs), "time that the log takes for a call")
    ("seconds", po::value(&aOptions.seconds), "virtual time of each run");
  // clang-format on
  try {
    po::variables_map values;
    const std::vector<std::string> arguments(aArguments.begin(), aArguments.end());
    po::store(po::command_line_parser(arguments).options(options).run(), values);
    po::notify(values);
    const bool isPositive = aOptions.requestsPerSecond > 0 && aOptions.regions > 0 &&
                            aOptions.daemons > 0 && aOptions.latencyMs >= 0 && aOptions.seconds > 0;
    if (values.count("help") == 0 && isPositive) {
      return true;
    }
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n';
  }
  std::cerr << options;
  return false;
}

void
PrintText(const Options& aOptions, const std::vector<ShardResult>& aResults,
          const LedgerResult& aLedger)
{
  const auto shards = static_cast<double>(aOptions.regions) * static_cast<double>(kClaimShards);
  std::cout << fmt::format("{} requests/s, {} shards, log call {} ms\n", aOptions.requestsPerSecond,
                           shards, aOptions.latencyMs);
  std::cout << "share  claims/s  appends/s  claims/append  wait p50  p99 ms  B/claim  us/claim\n";
  for (const ShardResult& result : aResults) {
    std::cout << fmt::format(
      "{:5.2f}  {:8.0f}  {:9.0f}  {:13.1f}  {:8.0f}  {:6.0f}  {:7.0f}  {:8.1f}\n", result.share,
      result.claimsPerSecond * shards, result.appendsPerSecond * shards, result.claimsPerAppend,
      result.waitP50, result.waitP99, result.bytesPerClaim, result.cpuPerClaim);
  }
  std::cout << fmt::format(
    "ledger: {:.0f} bytes a key, {:.1f} us to load one; taking over {:.0f} keys "
    "in {} records: {:.2f} s\n",
    aLedger.bytesPerKey, aLedger.loadMicroseconds, aLedger.keys, aLedger.records,
    aLedger.takeoverSeconds);
}

void
PrintJson(const Options& aOptions, const std::vector<ShardResult>& aResults,
          const LedgerResult& aLedger)
{
  const auto shards = static_cast<double>(aOptions.regions) * static_cast<double>(kClaimShards);
  nlohmann::json runs = nlohmann::json::array();
  for (const ShardResult& result : aResults) {
    runs.push_back({ { "share", result.share },
                     { "claims_per_second", result.claimsPerSecond * shards },
                     { "appends_per_second", result.appendsPerSecond * shards },
                     { "claims_per_append", result.claimsPerAppend },
                     { "wait_p50_ms", result.waitP50 },
                     { "wait_p99_ms", result.waitP99 },
                     { "bytes_per_claim", result.bytesPerClaim },
                     { "cpu_us_per_claim", result.cpuPerClaim },
                     { "refused", result.refused } });
  }
  const nlohmann::json report{ { "requests_per_second", aOptions.requestsPerSecond },
                               { "shards", shards },
                               { "log_latency_ms", aOptions.latencyMs },
                               { "runs", runs },
                               { "ledger_bytes_per_key", aLedger.bytesPerKey },
                               { "ledger_load_us_per_claim", aLedger.loadMicroseconds },
                               { "takeover_records", aLedger.records },
                               { "takeover_seconds", aLedger.takeoverSeconds } };
  std::cout << report.dump(2) << '\n';
}

} // namespace

int
RunClaimsBench(std::span<const std::string> aArguments)
{
  Options options;
  if (!ReadOptions(aArguments, options)) {
    return kExitUsage;
  }
  std::vector<ShardResult> results;
  results.reserve(kShares.size());
  for (const double share : kShares) {
    results.push_back(RunShard(options, share));
  }
  const LedgerResult ledger = MeasureLedger(options);
  if (options.json) {
    PrintJson(options, results, ledger);
  } else {
    PrintText(options, results, ledger);
  }
  return 0;
}

} // namespace lagoonward::bench
