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

/// How often progress is printed.
constexpr std::chrono::seconds kProgressRound{ 1 };

/// What the command line says.
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
    auto& to = this->settings;
    po::options_description description(
      "lagoonward-standins load: a mixed load, every answer compared with what it must be.\n"
      "Client keys are demo-key-NAME. Exit status 0 only if nothing was lost, doubled or wrong");
    const auto bind = [](auto& aTarget) { return po::value(&aTarget)->default_value(aTarget); };
    description.add_options()("help", "show this text")(
      "manifest", po::value(&this->manifestFile)->required(), "the market's manifest")(
      "daemon", po::value(&this->daemons)->composing()->required(), "IP:PORT; repeatable")(
      "platform", po::value(&this->platform)->required(),
      "IP:PORT of the fleet's platform")("drafts", bind(to.drafts), "long answers, streamed")(
      "status", bind(to.statusChecks), "short urgent answers")("lookups", bind(to.lookups),
                                                               "repeatable service calls")(
      "submissions", bind(to.submissions), "service calls that must run at most once")(
      "draft-words", bind(to.draftWords), "words of a draft's dossier")(
      "draft-tokens", bind(to.draftTokens), "tokens of a draft, at most")(
      "status-tokens", bind(to.statusTokens), "tokens of a status answer, at most")(
      "spread-ms", bind(this->spreadMs), "all requests start within this time")(
      "seed", bind(to.seed), "the same seed plans the same load")(
      "json", po::bool_switch(&this->json), "print the report as JSON");
    return description;
  }
};

/// Runs all callers of a plan on one loop and prints progress.
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

  /// Returns when every caller is done.
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
      this->changed.wait_for(lock, kProgressRound);
      const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - begin;
      if (passed >= this->nextProgress) {
        this->nextProgress += kProgressRound;
        this->loop.Post([this, passed] { this->PrintProgress(passed.count()); });
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
    this->whole += aCaller.Result().outcome == Outcome::Whole ? 1 : 0;
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
                             this->finished, this->callers.size(), this->whole, streaming);
  }

  const std::vector<PlannedRequest>& plan;
  const std::vector<std::string>& daemons;
  SystemClock clock;
  TrafficLoop loop;
  std::vector<std::unique_ptr<Caller>> callers;
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t finished = 0;
  std::size_t whole = 0;
  std::chrono::duration<double> nextProgress{ kProgressRound };
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
  options.settings.spread = Milliseconds(options.spreadMs);
  for (auto& daemon : options.daemons) {
    daemon.insert(0, "http://");
  }
  const auto manifest = ReadManifestFile(options.manifestFile);
  const auto plan = PlanLoad(manifest, options.settings);
  const auto platform = "http://" + options.platform;
  const auto before = ReadFleetAccount(platform);
  LoadRun run(plan, options.daemons);
  run.Run();
  const LoadReport report(run.Callers(), before, ReadFleetAccount(platform));
  std::cout << (options.json ? report.ToJson() + "\n" : report.ToText());
  return report.IsClean() ? 0 : 1;
}

} // namespace lagoonward::standins
