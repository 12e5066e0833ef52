#include "Lagoonward/Cli/CommandOptions.h"

#include <algorithm>

namespace lagoonward {

namespace {

namespace po = boost::program_options;

/// Allows long, unabbreviated flags only, so that `--base -1` is parsed as a flag and its value.
constexpr int kStyle = po::command_line_style::allow_long |
                       po::command_line_style::long_allow_adjacent |
                       po::command_line_style::long_allow_next;
constexpr std::string_view kPrefix = "LAGOONWARD_";

} // namespace

CommandOptions::CommandOptions(std::string aCommand, po::options_description aOptions,
                               std::vector<std::string> aPositional,
                               std::vector<std::string> aRequired)
  : command(std::move(aCommand))
  , flags(std::move(aOptions))
  , positional(std::move(aPositional))
  , required(std::move(aRequired))
{
  this->flags.add_options()("help", "print this text");
}

bool
CommandOptions::Read(std::span<const std::string> aArguments, std::ostream& aErr)
{
  std::vector<std::string> faults;
  this->Parse(aArguments, faults);
  if (this->IsHelpRequested()) {
    return true;
  }
  for (const std::string& name : this->required) {
    if (!this->Has(name)) {
      faults.push_back(name + " is missing");
    }
  }
  for (const std::string& fault : faults) {
    aErr << "lagoonward " << this->command << ": " << fault << '\n';
  }
  return faults.empty();
}

bool
CommandOptions::IsHelpRequested() const
{
  return this->Has("help");
}

bool
CommandOptions::Has(const std::string& aName) const
{
  return this->values.count(aName) > 0;
}

const po::options_description&
CommandOptions::Flags() const
{
  return this->flags;
}

std::string
CommandOptions::FlagForVariable(const std::string& aVariable) const
{
  if (!aVariable.starts_with(kPrefix)) {
    return {};
  }
  std::string flag = aVariable.substr(kPrefix.size());
  std::transform(flag.begin(), flag.end(), flag.begin(), [](unsigned char aByte) {
    return aByte == '_' ? '-' : static_cast<char>(std::tolower(aByte));
  });
  return flag != "help" && this->flags.find_nothrow(flag, false) != nullptr ? flag : std::string();
}

void
CommandOptions::Parse(std::span<const std::string> aArguments, std::vector<std::string>& aFaults)
{
  po::options_description all;
  all.add(this->flags);
  po::positional_options_description positionalOptions;
  for (const std::string& name : this->positional) {
    all.add_options()(name.c_str(), po::value<std::string>());
    positionalOptions.add(name.c_str(), 1);
  }
  try {
    const std::vector<std::string> arguments(aArguments.begin(), aArguments.end());
    po::command_line_parser parser(arguments);
    const auto parsed =
      parser.options(all).positional(positionalOptions).style(kStyle).allow_unregistered().run();
    for (const auto& unknown : po::collect_unrecognized(parsed.options, po::exclude_positional)) {
      aFaults.push_back("unknown option " + unknown);
    }
    po::store(parsed, this->values);
    po::store(po::parse_environment(
                this->flags,
                [this](const std::string& aVariable) { return this->FlagForVariable(aVariable); }),
              this->values);
  } catch (const po::error& error) {
    aFaults.emplace_back(error.what());
  }
}

} // namespace lagoonward
