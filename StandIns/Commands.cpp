#include "StandIns/Commands.h"

#include "StandIns/Load/LoadCommand.h"
#include "StandIns/Options.h"

#include <csignal>
#include <functional>
#include <iostream>

namespace lagoonward::standins {

namespace {

namespace po = boost::program_options;

/// Waits for SIGTERM or SIGINT. Both must be blocked already, see BlockTerminationSignals().
void
WaitForTerminationSignal()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

/// Blocks SIGTERM and SIGINT in this thread and in every thread that it starts later, and ignores SIGPIPE.
void
BlockTerminationSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

/// Command-line parser with the flags that all commands share.
class CommandLine
{
public:
  explicit CommandLine(const std::string& aTitle)
    : description(aTitle)
  {
    this->description.add_options()("help", "show this text")(
      "listen", po::value(&this->listen)->default_value(this->listen), "IP:PORT; port 0: any free");
  }

  [[nodiscard]] po::options_description& Description() { return this->description; }
  [[nodiscard]] ListenAddress Listen() const { return ListenAddress::Parse(this->listen); }

  /// @return false if `--help` was given; the help text has been printed then
  [[nodiscard]] bool Parse(const std::vector<std::string>& aArguments)
  {
    po::variables_map values;
    po::store(po::command_line_parser(aArguments).options(this->description).run(), values);
    if (values.count("help") > 0) {
      std::cout << this->description;
      return false;
    }
    po::notify(values);
    return true;
  }

private:
  po::options_description description;
  std::string listen = "127.0.0.1:0";
};

int
RunPlatform(const std::vector<std::string>& aArguments)
{
  CommandLine line("lagoonward-standins platform: log, cloud, host list and weight store");
  PlatformOptions options;
  options.Describe(line.Description());
  if (!line.Parse(aArguments)) {
    return 0;
  }
  Scheduler scheduler;
  PlatformStandIn platform(options.Settings(), line.Listen(), scheduler, {});
  std::cout << "platform listens on " << platform.Address().ToString() << std::endl;
  WaitForTerminationSignal();
  platform.Stop();
  scheduler.Stop();
  return 0;
}

int
RunEngine(const std::vector<std::string>& aArguments)
{
  CommandLine line("lagoonward-standins engine: one model engine");
  EngineOptions options;
  options.Describe(line.Description());
  std::string id = "engine-1";
  std::string domain = "here";
  std::string weightStore;
  line.Description().add_options()("id", po::value(&id)->default_value(id), "the host's id")(
    "failure-domain", po::value(&domain)->default_value(domain), "the host's failure domain")(
    "weight-store-url", po::value(&weightStore), "where load orders fetch weights");
  if (!line.Parse(aArguments)) {
    return 0;
  }
  auto settings = options.Settings();
  settings.id = id;
  settings.failureDomain = domain;
  settings.weightStoreUrl = weightStore;
  Scheduler scheduler;
  ComputeLedger ledger;
  EngineStandIn engine(settings, line.Listen(), scheduler, ledger);
  std::cout << "engine " << id << " listens on " << engine.Address().ToString() << std::endl;
  WaitForTerminationSignal();
  scheduler.Stop();
  return 0;
}

int
RunService(const std::vector<std::string>& aArguments)
{
  CommandLine line("lagoonward-standins service: one plain service");
  ServiceSettings settings;
  std::int64_t workMs = settings.workTime.count();
  line.Description().add_options()("id", po::value(&settings.id)->default_value(settings.id),
                                   "the host's id")(
    "name", po::value(&settings.name)->default_value(settings.name), "the service's name")(
    "failure-domain", po::value(&settings.failureDomain), "the host's failure domain")(
    "work-ms", po::value(&workMs)->default_value(workMs), "time that a call takes");
  if (!line.Parse(aArguments)) {
    return 0;
  }
  settings.workTime = std::chrono::milliseconds(workMs);
  Scheduler scheduler;
  ServiceStandIn service(settings, line.Listen(), scheduler);
  std::cout << "service " << settings.name << " listens on " << service.Address().ToString()
            << std::endl;
  WaitForTerminationSignal();
  scheduler.Stop();
  return 0;
}

int
RunFleet(const std::vector<std::string>& aArguments)
{
  CommandLine line("lagoonward-standins fleet: a platform, engines and services in one process.\n"
                   "Prints one line of JSON with all addresses, then serves until SIGTERM");
  FleetOptions options;
  options.Describe(line.Description());
  if (!line.Parse(aArguments)) {
    return 0;
  }
  Scheduler scheduler;
  FleetStandIn fleet(options.Settings(line.Listen()), scheduler);
  std::cout << fleet.Describe() << std::endl;
  WaitForTerminationSignal();
  scheduler.Stop();
  fleet.Stop();
  return 0;
}

int
RunAnswer(const std::vector<std::string>& aArguments)
{
  po::options_description description(
    "lagoonward-standins answer: prints the text that an engine must answer");
  Question question;
  std::int64_t maxTokens = 16;
  description.add_options()("help", "show this text")(
    "model", po::value(&question.model)->required(),
    "the model's name")("version", po::value(&question.version)->required(), "the model's version")(
    "adapter", po::value(&question.adapter),
    "NAME@VERSION")("seed", po::value(&question.seed)->default_value(0), "the request's seed")(
    "prompt", po::value(&question.prompt)->required(), "the prompt")(
    "max-tokens", po::value(&maxTokens)->default_value(maxTokens), "the request's limit");
  po::variables_map values;
  po::store(po::command_line_parser(aArguments).options(description).run(), values);
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  po::notify(values);
  std::cout << AnswerText(question, maxTokens) << '\n';
  return 0;
}

} // namespace

std::string
Usage()
{
  return "Usage: lagoonward-standins COMMAND [FLAGS]\n"
         "Test programs in the place of the systems around lagoonward; formats in "
         "docs/INTERFACES.md.\n\n"
         "  platform   log, cloud, host list and weight store on one port\n"
         "  engine     one model engine\n"
         "  service    one plain service\n"
         "  fleet      a platform with many engines and services in one process\n"
         "  load       callers that compare each answer with what it must be\n"
         "  answer     the text that an engine must answer to a question\n\n"
         "COMMAND --help lists a command's flags. Each takes faults at run time:\n"
         "  curl -d '{\"fault\":\"slow\",\"ms\":200,\"count\":3}' http://IP:PORT/faults\n"
         "  everywhere: slow, hang, lost_answer, outage (mode 503, reset, silent), silent\n"
         "  platform:   refused_start, truncate (path: the stream, after: the first offset kept)\n"
         "  engine:     refuse, cut, crossed (mode first, middle, last), skip_token, "
         "wrong_version,\n"
         "              pause, cache_gap, vanish\n"
         "  service:    refuse, vanish\n";
}

int
RunCommand(const std::string& aCommand, const std::vector<std::string>& aArguments)
{
  BlockTerminationSignals();
  try {
    if (aCommand == "platform") {
      return RunPlatform(aArguments);
    }
    if (aCommand == "engine") {
      return RunEngine(aArguments);
    }
    if (aCommand == "service") {
      return RunService(aArguments);
    }
    if (aCommand == "fleet") {
      return RunFleet(aArguments);
    }
    if (aCommand == "load") {
      return RunLoad(aArguments);
    }
    if (aCommand == "answer") {
      return RunAnswer(aArguments);
    }
  } catch (const po::error& error) {
    std::cerr << aCommand << ": " << error.what() << '\n';
    return 2;
  } catch (const std::invalid_argument& error) {
    std::cerr << aCommand << ": " << error.what() << '\n';
    return 2;
  } catch (const std::exception& error) {
    std::cerr << aCommand << ": " << error.what() << '\n';
    return 1;
  }
  std::cerr << "no such command: " << aCommand << "\n\n" << Usage();
  return 2;
}

} // namespace lagoonward::standins
