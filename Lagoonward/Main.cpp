#include "Lagoonward/Cli/AdminCommands.h"
#include "Lagoonward/Cli/CheckCommand.h"
#include "Lagoonward/Cli/PublishCommand.h"
#include "Lagoonward/Cli/ServeCommand.h"
#include "platform/RelayCommand.h"

#include <array>
#include <iostream>
#include <string>
#include <vector>

using namespace lagoonward;

namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;

/// One command of the program.
struct Command
{
  std::string_view name;
  std::string_view help;
  int (*run)(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr);
};

int
RunVersion(std::span<const std::string> /*aArguments*/, std::ostream& aOut, std::ostream& /*aErr*/)
{
  aOut << "lagoonward " << LAGOONWARD_VERSION << '\n';
  return kExitOk;
}

constexpr std::array kCommands{
  Command{ "serve", "run a daemon", &RunServe },
  Command{ "relay", "run a daemon that relays requests on the platform", &platform::RunRelay },
  Command{ "check", "validate a manifest", &RunCheck },
  Command{ "publish", "append a manifest to its market's stream", &RunPublish },
  Command{ "status", "show what is in force where, per daemon and per endpoint", &RunStatus },
  Command{ "drain", "ask a daemon to leave", &RunDrain },
  Command{ "explain", "show the decisions taken for one request", &RunExplain },
  Command{ "version", "print the version", &RunVersion },
};

void
PrintUsage(std::ostream& aTo)
{
  aTo << "usage: lagoonward COMMAND [OPTIONS]\n\n";
  for (const Command& command : kCommands) {
    aTo << "  " << command.name << std::string(10 - command.name.size(), ' ') << command.help
        << '\n';
  }
  aTo << "\n`lagoonward COMMAND --help` describes a command.\n";
}

} // namespace

int
main(int argc, char** argv)
{
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.empty()) {
    PrintUsage(std::cerr);
    return kExitUsage;
  }
  if (arguments.front() == "--help" || arguments.front() == "help") {
    PrintUsage(std::cout);
    return kExitOk;
  }
  for (const Command& command : kCommands) {
    if (arguments.front() == command.name) {
      return command.run(std::span(arguments).subspan(1), std::cout, std::cerr);
    }
  }
  std::cerr << "lagoonward: no command \"" << arguments.front() << "\"\n";
  PrintUsage(std::cerr);
  return kExitUsage;
}
