#include "StandIns/Load/LoadCommand.h"

#include "Lagoonward/Core/SystemClock.h"
#include "StandIns/Load/LoadReport.h"
#include "StandIns/Options.h"

#include <fmt/format.h>

#include <condition_variable>
#include <iostream>
#include <mutex>
#include <thread>

namespace lagoonward::standins {

namespace {

namespace po = boost::program_options;

/// Interval between progress lines.
constexpr std::chrono::seconds kProgressInterval{ 1 };

/// Command-line options of the load command.
struct LoadOptions
{
  LoadSettings settings;
  std::string manifestFile;
  std::vector<std::string> daemons;
  std::string platform;
  std::int64_t spreadMs = 10000;
  bool json = false;

  [[nodiscard]] po::options_description Describe()
  {
    auto& target = this->settings;
    po::options_description description(
      "lagoonward-standins load: a mixed load, every answer compared with what it must be.\n"
      "Client keys are demo-key-NAME. Exit status 0 only if nothing was lost, doubled or wrong");
    const auto bind = [](auto& aTarget) { return po::value(&aTarget)->default_value(aTarget); };
    description.add_options()("help", "show this text")(
      "manifest", po::value(&this->manifestFile)->required(), "the market's manifest")(
      "daemon", po::value(&this->daemons)->composing()->required(), "IP:PORT; repeatable")(
      "platform", po::value(&this->platform)->required(),
      "IP:PORT of the fleet's platform")("drafts", bind(target.drafts), "long answers, streamed")(
      "status", bind(target.statusChecks), "short urgent answers")("lookups", bind(target.lookups),
                                                                   "repeatable service calls")(
      "submissions", bind(target.submissions), "service calls that must run at most once")(
      "draft-words", bind(target.draftWords), "words of a draft's dossier")(
      "draft-tokens", bind(target.draftTokens), "tokens of a draft, at most")(
      "status-tokens", bind(target.statusTokens), "tokens of a status answer, at most")(
      "spread-ms", bind(this->spreadMs), "all requests start within this time")(
      "seed", bind(target.seed), "the same seed plans the same load")(
      "json", po::bool_switch(&this->json), "print the report as JSON");
    return description;
  }
};

/// Runs all callers of a plan on one TrafficLoop and prints progress.
class LoadRun
{
public:
  LoadRun(const std::vector<PlannedRequest>& aPlan, const std::vector<std::string>& aDaemons)
    : plan(aPlan)
    , daemons(aDaemons)
    , loop(this->clock, HttpClientSettings())
  {
    for (std::size_t index = 0; index < this->plan.size(); ++index) {
      this->callers.push_back(
        std::make_unique<Caller>(this->loop, this->plan[index], this->daemons, index,
                                 [this](Caller& aCaller) { this->OnDone(aCaller); }));
    }
  }

  /// Returns when every caller has completed.
  void Run()
  {
    this->loop.Start();
    this->loop.Post([this] {
      for (std::size_t index = 0; index < this->plan.size(); ++index) {
        this->loop.RunAfter(this->plan[index].startAfter,
                            [caller = this->callers[index].get()] { caller->Start(); });
      }
    });
    const auto begin = std::chrono::steady_clock::now();
    std::unique_lock lock(this->mutex);
    while (this->finished < this->callers.size()) {
      this->changed.wait_for(lock, kProgressInterval);
      const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
      if (elapsed >= this->nextProgress) {
        this->nextProgress += kProgressInterval;
        this->loop.Post([this, elapsed] { this->PrintProgress(elapsed.count()); });
      }
    }
    lock.unlock();
    this->loop.Stop();
  }

  [[nodiscard]] const std::vector<std::unique_ptr<Caller>>& Callers() const
  {
    return this->callers;
  }

private:
  void OnDone(Caller& aCaller)
  {
    const std::lock_guard lock(this->mutex);
    ++this->finished;
    this->correct += aCaller.Result().outcome == Outcome::Correct ? 1 : 0;
    this->changed.notify_one();
  }

  void PrintProgress(double aSeconds)
  {
    std::size_t streaming = 0;
    for (const auto& caller : this->callers) {
      streaming += caller->IsStreaming() ? 1 : 0;
    }
    const std::lock_guard lock(this->mutex);
    std::cerr << fmt::format("load: {:4.0f} s, {} of {} over, {} whole, streaming={}\n", aSeconds,
                             this->finished, this->callers.size(), this->correct, streaming);
  }

  const std::vector<PlannedRequest>& plan;
  const std::vector<std::string>& daemons;
  SystemClock clock;
  TrafficLoop loop;
  std::vector<std::unique_ptr<Caller>> callers;
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t finished = 0;
  std::size_t correct = 0;
  std::chrono::duration<double> nextProgress{ kProgressInterval };
};

} // namespace

int
RunLoad(const std::vector<std::string>& aArguments)
{
  LoadOptions options;
  const auto description = options.Describe();
  po::variables_map values;
  po::store(po::command_line_parser(aArguments).options(description).run(), values);
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  po::notify(values);
  options.settings.startWindow = Milliseconds(options.spreadMs);
  for (auto& daemon : options.daemons) {
    daemon.insert(0, "http://");
  }
  const auto manifest = ReadManifestFile(options.manifestFile);
  const auto plan = PlanLoad(manifest, options.settings);
  const auto platform = "http://" + options.platform;
  const auto before = ReadFleetCounters(platform);
  LoadRun run(plan, options.daemons);
  run.Run();
  const LoadReport report(run.Callers(), before, ReadFleetCounters(platform));
  std::cout << (options.json ? report.ToJson() + "\n" : report.ToText());
  return report.IsClean() ? 0 : 1;
}

} // namespace lagoonward::standins
