#include "Lagoonward/Cli/PublishCommand.h"

#include "Lagoonward/Cli/CommandOptions.h"
#include "Lagoonward/Cli/ManifestFile.h"
#include "Lagoonward/Configuration/ConfigurationPublisher.h"
#include "Lagoonward/Configuration/MarketIndex.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Providers/HttpLogService.h"

#include <algorithm>
#include <ostream>

namespace lagoonward {

namespace {

namespace po = boost::program_options;
using Verdict = PublishOutcome::Verdict;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

constexpr std::string_view kUsage =
  "usage: lagoonward publish FILE --log-url URL [--base OFFSET] [--timeout-ms MILLISECONDS]\n";

po::options_description
DescribeOptions()
{
  po::options_description options("Options");
  // clang-format off
  options.add_options()
    ("log-url", po::value<std::string>(), "base URL of the platform's log")
    ("base", po::value<Offset>(), "offset that the manifest builds on, -1 for none; "
                                  "default: what is in force")
    ("timeout-ms", po::value<int>()->default_value(10'000), "time for the whole publication");
  // clang-format on
  return options;
}

/// Checks the values of the options and prints each fault.
/// @return true if there are no faults
bool
CheckValues(const CommandOptions& aOptions, std::ostream& aErr)
{
  bool valid = true;
  if (aOptions.Has("base") && aOptions.Get<Offset>("base") < kNoOffset) {
    aErr << "lagoonward publish: --base is below -1\n";
    valid = false;
  }
  if (aOptions.Has("timeout-ms") && aOptions.Get<int>("timeout-ms") <= 0) {
    aErr << "lagoonward publish: --timeout-ms must be greater than zero\n";
    valid = false;
  }
  return valid;
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
  CommandOptions options("publish", DescribeOptions(), { "file" }, { "file", "log-url" });
  const bool optionsValid = options.Read(aArguments, aErr);
  if (optionsValid && options.IsHelpRequested()) {
    aOut << kUsage << "Appends a manifest to its market's stream and tells who won.\n"
         << options.Flags();
    return kExitOk;
  }
  // Report all faults: check the values also if the flags were faulty
  const bool valuesValid = CheckValues(options, aErr);
  if (!optionsValid || !valuesValid) {
    aErr << kUsage;
    return kExitUsage;
  }

  // Validate the manifest before appending anything
  const auto manifest = LoadManifest(options.Get<std::string>("file"), aErr);
  if (!manifest) {
    return kExitFailed;
  }

  // Publish the manifest
  const SystemClock clock;
  HttpLogService log(options.Get<std::string>("log-url"), PlatformSettings());
  PublisherSettings settings;
  settings.timeout = Milliseconds(options.Get<int>("timeout-ms"));
  std::optional<Offset> base;
  if (options.Has("base")) {
    base = options.Get<Offset>("base");
  }
  ConfigurationPublisher publisher(log, clock, settings, "publish-" + MakeIncarnation());
  const auto outcome = publisher.Publish(*manifest, base);
  if (!outcome) {
    aErr << "lagoonward publish: " << outcome.error().message << '\n';
    return kExitFailed;
  }
  // Add the market to the index, so that daemons that do not follow it yet find its stream
  if (outcome.value().verdict == Verdict::Accepted &&
      !log.Append(kMarketIndexStream, WriteMarketIndexRecord(manifest->market))) {
    aErr << "lagoonward publish: failed to write the index of markets; daemons that do not follow "
            "this market yet will learn of it from callers or other daemons\n";
  }
  return Report(outcome.value(), manifest->market, aOut, aErr);
}

} // namespace lagoonward
