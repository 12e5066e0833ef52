#pragma once

#include "Lagoonward/Settings/DaemonSettings.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// One setting: a flag `--foo-bar` and its variable `LAGOONWARD_FOO_BAR`.
struct SettingRule
{
  std::string name;        ///< Without the dashes.
  std::string placeholder; ///< For the help text, for example "IP:PORT".
  std::string defaultText; ///< Taken when nothing is given; empty for none.
  bool required = false;
  std::string help;
  /// Puts a value into the settings.
  /// @return what is wrong with it, or nothing
  std::function<std::optional<std::string>(DaemonSettings& aSettings, const std::string& aText)>
    apply;
};

/// What came of reading: settings, or every fault at once.
struct SettingsOutcome
{
  DaemonSettings settings;
  std::vector<std::string> faults; ///< One line each; empty when the settings can be used.
  bool helpAsked = false;
};

/// Reads the daemon's settings from flags and environment variables; a flag wins.
class SettingsReader
{
public:
  /// @param aArguments    the command's arguments, without program and command name
  /// @param aEnvironment  `NAME=VALUE` strings
  [[nodiscard]] static SettingsOutcome Read(std::span<const std::string> aArguments,
                                            std::span<const std::string> aEnvironment);

  /// Text for `--help`: every setting with its default.
  [[nodiscard]] static std::string Help();

  /// All settings, in the order of the help text.
  [[nodiscard]] static std::span<const SettingRule> Rules();

  /// `LAGOONWARD_FOO_BAR` for `foo-bar`.
  [[nodiscard]] static std::string VariableName(std::string_view aSetting);
};

} // namespace lagoonward
