#include "Fuzz/Stateful/ClaimHarness.h"
#include "Fuzz/Stateful/ConfigurationHarness.h"
#include "Fuzz/Stateful/LeaseHarness.h"
#include "Fuzz/Stateful/PlacementHarness.h"
#include "Fuzz/Stateful/ReclaimHarness.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>

using namespace lagoonward::fuzz;

namespace {

constexpr int kExitUsage = 2;
constexpr int kDefaultCases = 200;
constexpr int kLongestSequence =
  150; ///< In operations; sequences grow up to this length over the cases.

/// A harness with its name.
struct Entry
{
  std::string_view name;
  HarnessReport (*run)();
};

template<StatefulHarness Harness>
constexpr Entry
MakeEntry()
{
  return { Harness::kName, &RunHarness<Harness> };
}

constexpr std::array kHarnesses{
  MakeEntry<LeaseHarness>(),   MakeEntry<ClaimHarness>(),     MakeEntry<ConfigurationHarness>(),
  MakeEntry<ReclaimHarness>(), MakeEntry<PlacementHarness>(),
};

/// Sets RC_PARAMS. rapidcheck reads its parameters from the environment once, so this must precede the first check.
void
Configure(std::uint64_t aSeed, int aCases)
{
  const std::string parameters = "seed=" + std::to_string(aSeed) +
                                 " max_success=" + std::to_string(aCases) +
                                 " max_size=" + std::to_string(kLongestSequence);
  setenv("RC_PARAMS", parameters.c_str(), 1);
}

} // namespace

int
main(int argc, char** argv)
{
  namespace po = boost::program_options;
  std::uint64_t seed = 1;
  int cases = kDefaultCases;
  po::options_description options("lagoonward-fuzz: stateful tests against simple oracles");
  options.add_options()("help", "print this")("seed", po::value(&seed)->default_value(seed),
                                              "seed of the sequences")(
    "cases", po::value(&cases)->default_value(cases), "sequences for each harness");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    if (values.count("help") > 0) {
      std::cout << options << '\n';
      return 0;
    }
  } catch (const po::error& error) {
    std::cerr << "lagoonward-fuzz: " << error.what() << '\n';
    return kExitUsage;
  }
  if (cases <= 0) {
    std::cerr << "lagoonward-fuzz: --cases must be positive\n";
    return kExitUsage;
  }

  Configure(seed, cases);
  bool passed = true;
  std::uint64_t operations = 0;
  for (const Entry& entry : kHarnesses) {
    const HarnessReport report = entry.run();
    std::cout << entry.name << ": " << (report.passed ? "held" : "FAILED") << " over "
              << report.sequences << " sequences, " << report.operations << " operations\n";
    passed = passed && report.passed;
    operations += report.operations;
  }
  std::cout << "operations tried: " << operations << '\n';
  return passed ? 0 : 1;
}
