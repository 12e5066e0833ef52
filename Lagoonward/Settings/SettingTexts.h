#pragma once

#include "Lagoonward/Settings/DaemonSettings.h"

#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// Describes why a setting's text is invalid; empty if it is valid.
using Fault = std::optional<std::string>;

/// Parses `IP:PORT`.
[[nodiscard]] Fault
ReadAddress(const std::string& aText, SocketAddress& aTarget);

/// Parses an http:// or https:// URL and removes trailing slashes.
[[nodiscard]] Fault
ReadUrl(const std::string& aText, std::string& aTarget);

/// Parses `debug`, `info`, `warning` or `error`.
[[nodiscard]] Fault
ReadLogLevel(const std::string& aText, LogLevel& aTarget);

/// Splits a comma-separated list. Trims blanks and drops empty items.
[[nodiscard]] std::vector<std::string>
SplitList(const std::string& aText);

} // namespace lagoonward
