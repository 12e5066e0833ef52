#include "Bench/ControlBench.h"

#include <array>
#include <iostream>
#include <string_view>
#include <vector>

using namespace lagoonward;

namespace {

/// One subcommand of the bench.
struct Subcommand
{
  std::string_view name;
  int (*run)(std::span<const std::string_view> aArguments);
};

constexpr std::array kSubcommands{
  Subcommand{ "control", &RunControlBench },
};

} // namespace

int
main(int argc, char** argv)
{
  const std::vector<std::string_view> arguments(argv + 1, argv + argc);
  for (const Subcommand& subcommand : kSubcommands) {
    if (!arguments.empty() && arguments.front() == subcommand.name) {
      return subcommand.run(std::span(arguments).subspan(1));
    }
  }
  std::cerr << "usage: lagoonward-bench SUBCOMMAND [--json]\nsubcommands:";
  for (const Subcommand& subcommand : kSubcommands) {
    std::cerr << ' ' << subcommand.name;
  }
  std::cerr << '\n';
  return 2;
}
