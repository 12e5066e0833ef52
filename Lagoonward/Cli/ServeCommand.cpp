#include "Lagoonward/Cli/ServeCommand.h"

#include "Lagoonward/Core/ProcessEnd.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Daemon/Daemon.h"
#include "Lagoonward/Settings/SettingsReader.h"

#include <curl/curl.h>
#include <unistd.h>

#include <csignal>
#include <vector>

namespace lagoonward {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

std::vector<std::string>
CollectEnvironment()
{
  std::vector<std::string> entries;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    entries.emplace_back(*entry);
  }
  return entries;
}

/// Blocks the signals that request a drain in this and all threads started later, so that sigwait() receives them.
/// Ignores SIGPIPE.
/// @return the blocked signals
sigset_t
BlockDrainSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

} // namespace

int
RunServe(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr)
{
  const std::vector<std::string> environment = CollectEnvironment();
  const SettingsOutcome outcome = SettingsReader::Read(aArguments, environment);
  if (outcome.helpRequested) {
    aOut << "usage: lagoonward serve SETTINGS\n\nRuns a daemon. Each setting may also be given as "
            "the variable in brackets; a flag wins.\n\n"
         << SettingsReader::Help();
    return kExitOk;
  }
  if (!outcome.faults.empty()) {
    for (const std::string& fault : outcome.faults) {
      aErr << "lagoonward serve: " << fault << '\n';
    }
    return kExitUsage;
  }
  const sigset_t signals = BlockDrainSignals();
  StartLogging(outcome.settings.logLevel);
  ReportFatalErrors();
  curl_global_init(CURL_GLOBAL_ALL);

  const SystemClock clock;
  Daemon daemon(outcome.settings, clock, [] { ::kill(::getpid(), SIGTERM); });
  const auto started = daemon.Start();
  if (!started) {
    aErr << "lagoonward serve: " << started.error().message << '\n';
    return kExitFailed;
  }
  int received = 0;
  sigwait(&signals, &received);
  daemon.Drain();
  daemon.Stop();
  return kExitOk;
}

} // namespace lagoonward
