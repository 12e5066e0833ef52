#pragma once

#include "Lagoonward/Settings/DaemonSettings.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Describes one setting: a flag `--foo-bar` with the variable `LAGOONWARD_FOO_BAR`.
struct SettingRule
{
  std::string name;        ///< Flag name without the leading dashes.
  std::string placeholder; ///< For the help text, for example "IP:PORT".
  std::string defaultText; ///< Used when the setting is not given; empty for no default.
  bool required = false;
  std::string help;
  /// Parses a value and stores it in the settings.
  /// @return why the value is invalid; empty if it is valid
  std::function<std::optional<std::string>(DaemonSettings& aSettings, const std::string& aText)>
    apply;
};

/// Result of reading the settings: the settings, or all faults found.
struct SettingsOutcome
{
  DaemonSettings settings;
  std::vector<std::string> faults; ///< One line per fault; empty when the settings are valid.
  bool helpRequested = false;
};

/// Reads the settings of `lagoonward serve` from flags and environment variables. Flags override variables.
class SettingsReader
{
public:
  /// @param aArguments    the arguments after the program and command name
  /// @param aEnvironment  `NAME=VALUE` strings
  [[nodiscard]] static SettingsOutcome Read(std::span<const std::string> aArguments,
                                            std::span<const std::string> aEnvironment);

  /// Returns the text for `--help`, with every setting and its default.
  [[nodiscard]] static std::string Help();

  /// Returns all settings in the order of the help text.
  [[nodiscard]] static std::span<const SettingRule> Rules();

  /// Returns `LAGOONWARD_FOO_BAR` for `foo-bar`.
  [[nodiscard]] static std::string VariableName(std::string_view aSetting);
};

} // namespace lagoonward
