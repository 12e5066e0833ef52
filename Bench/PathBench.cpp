#include "Bench/PathBench.h"

#include "Bench/Path/LoadClient.h"
#include "Bench/Path/PathDaemon.h"
#include "Bench/Path/PathEngine.h"
#include "Bench/Path/ProcessUsage.h"
#include "Lagoonward/Core/Log.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <thread>

namespace lagoonward::bench {

namespace {

namespace po = boost::program_options;

constexpr int kExitUsage = 2;
constexpr int kEngines = 64;
constexpr unsigned kClientThreads = 4;
constexpr int kLatencyRounds = 20;
/// More than any stream generates before the benchmark ends it.
constexpr int kUnboundedTokens = 32'000;
constexpr Milliseconds kTimeout{ 60'000 };
constexpr double kMegabyte = 1U << 20U;

/// Command-line options.
struct Options
{
  int openStreams = 1000;
  int calls = 4000; ///< First-byte measurements, direct and through the daemon each.
  int tokenStreams = 400;
  int stepMs = 20;
  int seconds = 8;
  int shortRequests = 10'000;
  int concurrency = 32;
  std::string logFile = "/dev/null";
  bool json = false;
};

/// Measurements of one run.
struct Figures
{
  double directP50 = 0; ///< Milliseconds to the first byte.
  double directP99 = 0;
  double daemonP50 = 0;
  double daemonP99 = 0;
  double tokensPerSecond = 0;
  double tokensPerCoreSecond = 0;
  double serviceCallsPerCoreSecond = 0;
  double completionsPerCoreSecond = 0;
  double idleMb = 0;    ///< Resident memory of this program before the first request.
  double streamsMb = 0; ///< Allocated by the daemon for the open streams.
  /// Resident memory of this program with the streams open, engine and callers included.
  double residentMb = 0;
  int failed = 0;
  std::string firstFailure;
};

double
Quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(aFraction * static_cast<double>(aValues.size() - 1))];
}

/// Megabytes of heap that are allocated now.
double
AllocatedMegabytes()
{
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / kMegabyte;
}

/// One benchmark run: the engine, the daemon in front of it and the callers.
class PathRun
{
public:
  explicit PathRun(const Options& aOptions)
    : options(aOptions)
    , engine({ .step = Milliseconds(aOptions.stepMs) })
    , client(kClientThreads)
    , sequentialClient(1)
  {
  }

  [[nodiscard]] Result<void> Start()
  {
    auto started = this->engine.Start();
    if (!started) {
      return started;
    }
    this->daemon = std::make_unique<PathDaemon>(this->engine.Port(), kEngines);
    return this->daemon->Start();
  }

  Figures Measure()
  {
    this->MeasureMemory();
    this->MeasureFirstByte();
    this->MeasureTokens();
    this->MeasureShortRequests();
    return this->figures;
  }

private:
  /// Completion requests through the daemon.
  [[nodiscard]] Load MakeDaemonLoad(int aTokens, bool aStream) const
  {
    Load load;
    load.request.method = "POST";
    load.request.url = fmt::format("http://127.0.0.1:{}/v1/completions", this->daemon->Port());
    load.request.headers = { fmt::format("Authorization: Bearer {}", PathDaemon::kClientKey) };
    load.request.body =
      fmt::format(R"({{"model":"{}","prompt":"assess outfall nine","max_tokens":{},"stream":{}}})",
                  PathDaemon::kModel, aTokens, aStream);
    load.request.timeout = kTimeout;
    load.expectedTail = aStream ? "data: [DONE]\n\n" : "";
    return load;
  }

  /// The same completion requests sent directly to the engine.
  [[nodiscard]] Load MakeDirectLoad(int aTokens) const
  {
    Load load;
    load.request.method = "POST";
    load.request.url = fmt::format("http://127.0.0.1:{}/v1/completions", this->engine.Port());
    load.request.body = fmt::format(
      R"({{"attempt_id":"a","model":"{}","version":"{}","prompt":"assess","max_tokens":{}}})",
      PathDaemon::kModel, PathDaemon::kVersion, aTokens);
    load.request.timeout = kTimeout;
    return load;
  }

  LoadReport Finish(LoadClient& aClient)
  {
    LoadReport report = aClient.Finish();
    this->figures.failed += report.failed;
    if (this->figures.firstFailure.empty()) {
      this->figures.firstFailure = report.firstFailure;
    }
    return report;
  }

  /// Opens aCount streams, runs aAction while all are open, and ends them.
  template<typename Action>
  void WithOpenStreams(Load aLoad, int aCount, Action aAction)
  {
    aLoad.concurrency = aCount;
    aLoad.total = aCount;
    this->client.Begin(aLoad);
    this->client.WaitForFirstBytes(aCount);
    aAction();
    this->engine.FinishStreams();
    this->Finish(this->client);
  }

  void MeasureMemory()
  {
    this->figures.idleMb = ResidentMegabytes();
    // A long token interval: the streams only have to be open
    this->engine.SetStep(Milliseconds(200));
    double direct = AllocatedMegabytes();
    this->WithOpenStreams(this->MakeDirectLoad(kUnboundedTokens), this->options.openStreams,
                          [&] { direct = AllocatedMegabytes() - direct; });
    double viaDaemon = AllocatedMegabytes();
    this->WithOpenStreams(this->MakeDaemonLoad(kUnboundedTokens, true), this->options.openStreams,
                          [&] {
                            viaDaemon = AllocatedMegabytes() - viaDaemon;
                            this->figures.residentMb = ResidentMegabytes();
                          });
    this->figures.streamsMb = viaDaemon - direct;
    this->engine.SetStep(Milliseconds(this->options.stepMs));
  }

  void MeasureFirstByte()
  {
    // Alternate, so that both are measured under the same machine load
    std::vector<double> direct;
    std::vector<double> viaDaemon;
    for (int round = 0; round < kLatencyRounds; ++round) {
      for (const bool isDirect : { true, false }) {
        Load load = isDirect ? this->MakeDirectLoad(1) : this->MakeDaemonLoad(1, true);
        load.total = this->options.calls / kLatencyRounds;
        this->sequentialClient.Begin(load);
        const LoadReport report = this->Finish(this->sequentialClient);
        auto& all = isDirect ? direct : viaDaemon;
        all.insert(all.end(), report.firstByte.begin(), report.firstByte.end());
      }
    }
    this->figures.directP50 = Quantile(direct, 0.5);
    this->figures.directP99 = Quantile(direct, 0.99);
    this->figures.daemonP50 = Quantile(viaDaemon, 0.5);
    this->figures.daemonP99 = Quantile(viaDaemon, 0.99);
  }

  void MeasureTokens()
  {
    this->WithOpenStreams(
      this->MakeDaemonLoad(kUnboundedTokens, true), this->options.tokenStreams, [&] {
        const auto tokensBefore = this->daemon->Counters().tokensRelayed.load();
        const double cpuBefore = this->daemon->ProcessorSeconds();
        std::this_thread::sleep_for(Seconds(this->options.seconds));
        const double cpu = this->daemon->ProcessorSeconds() - cpuBefore;
        const auto tokens =
          static_cast<double>(this->daemon->Counters().tokensRelayed.load() - tokensBefore);
        this->figures.tokensPerSecond = tokens / this->options.seconds;
        this->figures.tokensPerCoreSecond = tokens / cpu;
      });
  }

  double MeasureClosedLoop(Load aLoad)
  {
    aLoad.total = this->options.shortRequests;
    aLoad.concurrency = this->options.concurrency;
    const double cpuBefore = this->daemon->ProcessorSeconds();
    this->client.Begin(aLoad);
    const LoadReport report = this->Finish(this->client);
    return report.completed / (this->daemon->ProcessorSeconds() - cpuBefore);
  }

  void MeasureShortRequests()
  {
    this->figures.completionsPerCoreSecond =
      this->MeasureClosedLoop(this->MakeDaemonLoad(1, false));
    Load service = this->MakeDaemonLoad(1, false);
    service.request.url = fmt::format("http://127.0.0.1:{}/v1/services/{}/release",
                                      this->daemon->Port(), PathDaemon::kService);
    service.request.body = R"({"plant":9})";
    this->figures.serviceCallsPerCoreSecond = this->MeasureClosedLoop(service);
  }

  const Options& options;
  Figures figures;
  PathEngine engine;
  std::unique_ptr<PathDaemon> daemon;
  LoadClient client;
  LoadClient sequentialClient; ///< Sends one request at a time.
};

bool
ReadOptions(std::span<const std::string> aArguments, Options& aOptions)
{
  po::options_description options("lagoonward-bench path");
  // clang-format off
  options.add_options()
    ("help", "print this text")
    ("json", po::bool_switch(&aOptions.json), "print JSON")
    ("open-streams", po::value(&aOptions.openStreams), "streams held open for the memory figure")
    ("calls", po::value(&aOptions.calls), "calls for the first byte, direct and through the daemon each")
    ("token-streams", po::value(&aOptions.tokenStreams), "streams relayed at once for tokens/s")
    ("step-ms", po::value(&aOptions.stepMs), "time between two tokens of a stream")
    ("seconds", po::value(&aOptions.seconds), "how long tokens are relayed")
    ("short-requests", po::value(&aOptions.shortRequests), "short requests of each kind")
    ("concurrency", po::value(&aOptions.concurrency), "short requests at once")
    ("log-file", po::value(&aOptions.logFile), "where the daemon's log lines go");
  // clang-format on
  try {
    po::variables_map values;
    const std::vector<std::string> arguments(aArguments.begin(), aArguments.end());
    po::store(po::command_line_parser(arguments).options(options).run(), values);
    po::notify(values);
    const bool isPositive = aOptions.openStreams > 0 && aOptions.calls >= kLatencyRounds &&
                            aOptions.tokenStreams > 0 && aOptions.stepMs > 0 &&
                            aOptions.seconds > 0 && aOptions.shortRequests > 0 &&
                            aOptions.concurrency > 0;
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
PrintText(const Figures& aFigures)
{
  std::cout << fmt::format(
    "first byte, ms    direct p50 {:.3f} p99 {:.3f}, daemon p50 {:.3f} p99 {:.3f}, more p50 "
    "{:.3f} p99 {:.3f}\n",
    aFigures.directP50, aFigures.directP99, aFigures.daemonP50, aFigures.daemonP99,
    aFigures.daemonP50 - aFigures.directP50, aFigures.daemonP99 - aFigures.directP99);
  std::cout << fmt::format("tokens            {:.0f}/s relayed, {:.0f}/s per core\n",
                           aFigures.tokensPerSecond, aFigures.tokensPerCoreSecond);
  std::cout << fmt::format(
    "short requests    completions {:.0f}/s, service calls {:.0f}/s per core\n",
    aFigures.completionsPerCoreSecond, aFigures.serviceCallsPerCoreSecond);
  std::cout << fmt::format(
    "memory, MB        idle {:.1f}, the daemon's for the streams {:.1f}, together {:.1f}; with "
    "engine and callers {:.1f}\n",
    aFigures.idleMb, aFigures.streamsMb, aFigures.idleMb + aFigures.streamsMb, aFigures.residentMb);
}

void
PrintJson(const Options& aOptions, const Figures& aFigures)
{
  const nlohmann::json report{ { "direct_first_byte_p50_ms", aFigures.directP50 },
                               { "direct_first_byte_p99_ms", aFigures.directP99 },
                               { "daemon_first_byte_p50_ms", aFigures.daemonP50 },
                               { "daemon_first_byte_p99_ms", aFigures.daemonP99 },
                               { "added_p50_ms", aFigures.daemonP50 - aFigures.directP50 },
                               { "added_p99_ms", aFigures.daemonP99 - aFigures.directP99 },
                               { "token_streams", aOptions.tokenStreams },
                               { "tokens_per_second", aFigures.tokensPerSecond },
                               { "tokens_per_core_second", aFigures.tokensPerCoreSecond },
                               { "completions_per_core_second", aFigures.completionsPerCoreSecond },
                               { "service_calls_per_core_second",
                                 aFigures.serviceCallsPerCoreSecond },
                               { "open_streams", aOptions.openStreams },
                               { "idle_mb", aFigures.idleMb },
                               { "streams_mb", aFigures.streamsMb },
                               { "daemon_mb", aFigures.idleMb + aFigures.streamsMb },
                               { "resident_with_peers_mb", aFigures.residentMb },
                               { "failed", aFigures.failed } };
  std::cout << report.dump(2) << '\n';
}

} // namespace

int
RunPathBench(std::span<const std::string> aArguments)
{
  Options options;
  if (!ReadOptions(aArguments, options)) {
    return kExitUsage;
  }
  // Writing the daemon's log lines is part of the measured cost, but the lines are not part of the report
  if (std::freopen(options.logFile.c_str(), "w", stderr) == nullptr) {
    std::cout << "Cannot open the log file for writing: " << options.logFile << ".\n";
    return kExitUsage;
  }
  StartLogging(LogLevel::Info);
  PathRun run(options);
  if (const auto started = run.Start(); !started) {
    std::cout << started.error().message << '\n';
    return 1;
  }
  const Figures figures = run.Measure();
  if (options.json) {
    PrintJson(options, figures);
  } else {
    PrintText(figures);
  }
  if (figures.failed > 0) {
    std::cout << figures.failed
              << " responses failed or were incomplete; first failure: " << figures.firstFailure
              << '\n';
    return 1;
  }
  return 0;
}

} // namespace lagoonward::bench
