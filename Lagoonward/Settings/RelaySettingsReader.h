#pragma once

#include "Lagoonward/Settings/RelayDaemonSettings.h"

#include <span>
#include <string>
#include <vector>

namespace lagoonward {

/// What came of reading: settings, or every fault at once.
struct RelaySettingsOutcome
{
  RelayDaemonSettings settings;
  std::string file;                ///< Path of the settings file; empty for none.
  std::vector<std::string> faults; ///< One line each; empty when the settings can be used.
  bool helpAsked = false;
};

/// Reads the settings of `lagoonward relay` from flags, environment variables and a file of lines
/// `name = value` with `#` comments. A flag wins over a variable, a variable over the file. The file is
/// named by `--settings` or its variable.
class RelaySettingsReader
{
public:
  /// @param aArguments    the command's arguments, without program and command name
  /// @param aEnvironment  `NAME=VALUE` strings
  [[nodiscard]] static RelaySettingsOutcome Read(std::span<const std::string> aArguments,
                                                 std::span<const std::string> aEnvironment);

  /// Text for `--help`.
  [[nodiscard]] static std::string Help();
};

} // namespace lagoonward
