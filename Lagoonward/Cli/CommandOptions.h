#pragma once

#include <boost/program_options.hpp>

#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace lagoonward {

/// Reads the options of one command from flags and environment variables. Flags override variables. Flags are long
/// and cannot be abbreviated; the variable of `--foo-bar` is `LAGOONWARD_FOO_BAR`.
class CommandOptions
{
public:
  /// @param aCommand     name of the command, used in messages
  /// @param aOptions     the flags with their help texts; `help` is added
  /// @param aPositional  names of the positional arguments, in order
  /// @param aRequired    names of the required options and arguments
  CommandOptions(std::string aCommand, boost::program_options::options_description aOptions,
                 std::vector<std::string> aPositional, std::vector<std::string> aRequired);

  /// Reads the options and prints each fault on its own line.
  /// @return true if there are no faults or help was requested
  [[nodiscard]] bool Read(std::span<const std::string> aArguments, std::ostream& aErr);

  [[nodiscard]] bool IsHelpRequested() const;
  [[nodiscard]] bool Has(const std::string& aName) const;

  /// Returns the value of an option that was given or has a default.
  template<typename Value>
  [[nodiscard]] const Value& Get(const std::string& aName) const
  {
    return this->values[aName].template as<Value>();
  }

  /// Returns the flags for the help text.
  [[nodiscard]] const boost::program_options::options_description& Flags() const;

private:
  [[nodiscard]] std::string FlagForVariable(const std::string& aVariable) const;
  void Parse(std::span<const std::string> aArguments, std::vector<std::string>& aFaults);

  std::string command;
  boost::program_options::options_description flags;
  std::vector<std::string> positional;
  std::vector<std::string> required;
  boost::program_options::variables_map values;
};

} // namespace lagoonward
