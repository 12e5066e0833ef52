#include "Lagoonward/Cli/PublishCommand.h"

#include "Lagoonward/Cli/ManifestFile.h"
#include "Lagoonward/Configuration/ConfigurationPublisher.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Platform/HttpLogService.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <ostream>

namespace lagoonward {

namespace {

namespace po = boost::program_options;
using Verdict = PublishOutcome::Verdict;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

/// Long flags only, never abbreviated, so that `--base -1` reads as a flag and its value.
constexpr int kStyle = po::command_line_style::allow_long |
                       po::command_line_style::long_allow_adjacent |
                       po::command_line_style::long_allow_next;
constexpr std::string_view kPrefix = "LAGOONWARD_";
constexpr std::string_view kUsage =
  "usage: lagoonward publish FILE --log-url URL [--base OFFSET] [--timeout-ms MILLISECONDS]\n";

po::options_description
DescribeOptions()
{
  po::options_description options("Options");
  // clang-format off
  options.add_options()
    ("help", "print this text")
    ("log-url", po::value<std::string>(), "base URL of the platform's log")
    ("base", po::value<Offset>(), "offset that the manifest builds on, -1 for none; "
                                  "default: what is in force")
    ("timeout-ms", po::value<int>()->default_value(10'000), "time for the whole publication");
  // clang-format on
  return options;
}

/// The flag that a variable stands for, or an empty string.
std::string
FlagOfVariable(const po::options_description& aOptions, const std::string& aVariable)
{
  if (aVariable.rfind(kPrefix, 0) != 0) {
    return {};
  }
  std::string flag = aVariable.substr(kPrefix.size());
  std::transform(flag.begin(), flag.end(), flag.begin(), [](unsigned char aCharacter) {
    return aCharacter == '_' ? '-' : static_cast<char>(std::tolower(aCharacter));
  });
  return flag != "help" && aOptions.find_nothrow(flag, false) != nullptr ? flag : std::string();
}

/// Reads flags and variables; prints every fault, one a line.
/// @return whether there was none
bool
ReadOptions(std::span<const std::string> aArguments, po::variables_map& aValues, std::ostream& aErr)
{
  const auto options = DescribeOptions();
  po::options_description all;
  all.add(options).add_options()("file", po::value<std::string>());
  po::positional_options_description positional;
  positional.add("file", 1);
  std::vector<std::string> faults;
  try {
    const std::vector<std::string> arguments(aArguments.begin(), aArguments.end());
    const auto parsed = po::command_line_parser(arguments)
                          .options(all)
                          .positional(positional)
                          .style(kStyle)
                          .allow_unregistered()
                          .run();
    for (const auto& unknown : po::collect_unrecognized(parsed.options, po::exclude_positional)) {
      faults.push_back("unknown option " + unknown);
    }
    po::store(parsed, aValues);
    po::store(
      po::parse_environment(
        options, [&](const std::string& aVariable) { return FlagOfVariable(options, aVariable); }),
      aValues);
  } catch (const po::error& error) {
    faults.emplace_back(error.what());
  }
  if (aValues.count("help") > 0) {
    return true;
  }
  for (const char* required : { "file", "log-url" }) {
    if (aValues.count(required) == 0) {
      faults.push_back(std::string(required) + " is missing");
    }
  }
  if (aValues.count("base") > 0 && aValues["base"].as<Offset>() < kNoOffset) {
    faults.emplace_back("--base is below -1");
  }
  if (aValues.count("timeout-ms") > 0 && aValues["timeout-ms"].as<int>() <= 0) {
    faults.emplace_back("--timeout-ms is not positive");
  }
  for (const std::string& fault : faults) {
    aErr << "lagoonward publish: " << fault << '\n';
  }
  return faults.empty();
}

int
Report(const PublishOutcome& aOutcome, const std::string& aMarket, std::ostream& aOut,
       std::ostream& aErr)
{
  const std::string winner = aOutcome.winner.incarnation.empty()
                               ? std::string("a publisher that is no longer on record")
                               : ToString(aOutcome.winner);
  switch (aOutcome.verdict) {
    case Verdict::Accepted:
      aOut << "won: offset " << aOutcome.offset << " came into force in market " << aMarket << '\n';
      return kExitOk;
    case Verdict::Lost:
      aOut << "lost: offset " << aOutcome.inForce << " by " << winner << " is in force in market "
           << aMarket << '\n';
      aErr << "lagoonward publish: " << aOutcome.detail << '\n';
      return kExitFailed;
    case Verdict::Unknown:
      aOut << "unknown: the record may yet come into force in market " << aMarket << '\n';
      aErr << "lagoonward publish: " << aOutcome.detail << '\n';
      return kExitFailed;
  }
  return kExitFailed;
}

} // namespace

int
RunPublish(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr)
{
  po::variables_map values;
  if (!ReadOptions(aArguments, values, aErr)) {
    aErr << kUsage;
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    aOut << kUsage << "Appends a manifest to its market's stream and tells who won.\n"
         << DescribeOptions();
    return kExitOk;
  }

  // Check before anything is appended
  const auto manifest = LoadManifest(values["file"].as<std::string>(), aErr);
  if (!manifest) {
    return kExitFailed;
  }

  // Publish
  const SystemClock clock;
  HttpLogService log(values["log-url"].as<std::string>(), PlatformSettings());
  PublisherSettings settings;
  settings.timeout = Milliseconds(values["timeout-ms"].as<int>());
  std::optional<Offset> base;
  if (values.count("base") > 0) {
    base = values["base"].as<Offset>();
  }
  ConfigurationPublisher publisher(log, clock, settings, "publish-" + MakeIncarnation());
  const auto outcome = publisher.Publish(*manifest, base);
  if (!outcome) {
    aErr << "lagoonward publish: " << outcome.error().message << '\n';
    return kExitFailed;
  }
  return Report(outcome.value(), manifest->market, aOut, aErr);
}

} // namespace lagoonward
