#include "Bench/ClaimsBench.h"
#include "Bench/ControlBench.h"
#include "Bench/DecisionsBench.h"
#include "Bench/PathBench.h"
#include "Bench/QueueBench.h"
#include "Bench/ReclaimBench.h"
#include "Bench/RouteBench.h"

#include <array>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

using namespace lagoonward::bench;

namespace {

constexpr int kExitUsage = 2;

/// A benchmark and its name on the command line.
struct Subcommand
{
  std::string_view name;
  int (*run)(std::span<const std::string> aArguments);
};

constexpr std::array kSubcommands{
  Subcommand{ "claims", &RunClaimsBench },       Subcommand{ "control", &RunControlBench },
  Subcommand{ "decisions", &RunDecisionsBench }, Subcommand{ "path", &RunPathBench },
  Subcommand{ "queue", &RunQueueBench },         Subcommand{ "reclaim", &RunReclaimBench },
  Subcommand{ "route", &RunRouteBench },
};

} // namespace

int
main(int argc, char** argv)
{
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  for (const Subcommand& subcommand : kSubcommands) {
    if (!arguments.empty() && arguments.front() == subcommand.name) {
      return subcommand.run(std::span(arguments).subspan(1));
    }
  }
  std::cerr << "usage: lagoonward-bench SUBCOMMAND [--help]; subcommands:";
  for (const Subcommand& subcommand : kSubcommands) {
    std::cerr << ' ' << subcommand.name;
  }
  std::cerr << '\n';
  return kExitUsage;
}
