#pragma once

#include <boost/program_options.hpp>

#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace lagoonward {

/// Reads the options of one command from flags and environment variables; a flag wins. Flags are long
/// and never abbreviated; `--foo-bar` has the variable `LAGOONWARD_FOO_BAR`.
class CommandOptions
{
public:
  /// @param aCommand     name of the command, for messages
  /// @param aOptions     the flags with their help texts; `help` is added
  /// @param aPositional  names of the arguments without a flag, in order
  /// @param aRequired    names that must be given
  CommandOptions(std::string aCommand, boost::program_options::options_description aOptions,
                 std::vector<std::string> aPositional, std::vector<std::string> aRequired);

  /// Reads; prints every fault, one a line.
  /// @return whether there was none, or help was asked for
  [[nodiscard]] bool Read(std::span<const std::string> aArguments, std::ostream& aErr);

  [[nodiscard]] bool HelpAsked() const;
  [[nodiscard]] bool Has(const std::string& aName) const;

  /// Value of an option that was given or has a default.
  template<typename Value>
  [[nodiscard]] const Value& Get(const std::string& aName) const
  {
    return this->values[aName].template as<Value>();
  }

  /// The flags for the help text.
  [[nodiscard]] const boost::program_options::options_description& Flags() const;

private:
  [[nodiscard]] std::string FlagOfVariable(const std::string& aVariable) const;
  void Parse(std::span<const std::string> aArguments, std::vector<std::string>& aFaults);

  std::string command;
  boost::program_options::options_description flags;
  std::vector<std::string> positional;
  std::vector<std::string> required;
  boost::program_options::variables_map values;
};

} // namespace lagoonward
