#include "Lagoonward/Cli/CheckCommand.h"

#include "Lagoonward/Cli/ManifestFile.h"

#include <boost/program_options.hpp>

#include <ostream>

namespace lagoonward {

namespace {

namespace po = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitInvalid = 1;
constexpr int kExitUsage = 2;
constexpr std::string_view kUsage = "usage: lagoonward check FILE\n";

} // namespace

int
RunCheck(std::span<const std::string> aArguments, std::ostream& aOut, std::ostream& aErr)
{
  // Read the command line
  po::options_description options("Options");
  options.add_options()("help", "print this text");
  po::options_description all;
  all.add(options).add_options()("file", po::value<std::string>());
  po::positional_options_description positional;
  positional.add("file", 1);
  po::variables_map values;
  try {
    const std::vector<std::string> arguments(aArguments.begin(), aArguments.end());
    po::store(po::command_line_parser(arguments).options(all).positional(positional).run(), values);
  } catch (const po::error& error) {
    aErr << "lagoonward check: " << error.what() << '\n' << kUsage;
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    aOut << kUsage << "Validates a manifest; prints each fault with its JSON pointer.\n" << options;
    return kExitOk;
  }
  if (values.count("file") == 0) {
    aErr << "lagoonward check: FILE is missing\n" << kUsage;
    return kExitUsage;
  }

  // Check the manifest
  const auto file = values["file"].as<std::string>();
  const auto manifest = LoadManifest(file, aErr);
  if (!manifest) {
    return kExitInvalid;
  }
  aOut << file << ": valid manifest of market " << manifest->market << '\n';
  return kExitOk;
}

} // namespace lagoonward
