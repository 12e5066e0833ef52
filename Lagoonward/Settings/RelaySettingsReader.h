#pragma once

#include "Lagoonward/Settings/RelayDaemonSettings.h"

#include <span>
#include <string>
#include <vector>

namespace lagoonward {

/// Result of reading the settings: the settings, or all faults found.
struct RelaySettingsOutcome
{
  RelayDaemonSettings settings;
  std::string file;                ///< Path of the settings file; empty if none was given.
  std::vector<std::string> faults; ///< One line per fault; empty when the settings are valid.
  bool helpRequested = false;
};

/// Reads the settings of `lagoonward relay` from flags, environment variables and a file of lines
/// `name = value` with `#` comments. Flags override variables, and variables override the file. The path of the
/// file is set by `--settings` or its variable.
class RelaySettingsReader
{
public:
  /// @param aArguments    the arguments after the program and command name
  /// @param aEnvironment  `NAME=VALUE` strings
  [[nodiscard]] static RelaySettingsOutcome Read(std::span<const std::string> aArguments,
                                                 std::span<const std::string> aEnvironment);

  /// Returns the text for `--help`.
  [[nodiscard]] static std::string Help();
};

} // namespace lagoonward
