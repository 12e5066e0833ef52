#pragma once

#include "Lagoonward/Settings/DaemonSettings.h"

#include <optional>
#include <string>
#include <vector>

namespace lagoonward {

/// What is wrong with a setting's text, or nothing.
using Fault = std::optional<std::string>;

/// Reads `IP:PORT`.
[[nodiscard]] Fault
ReadAddress(const std::string& aText, SocketAddress& aTarget);

/// Reads an http:// or https:// URL, without slashes at its end.
[[nodiscard]] Fault
ReadUrl(const std::string& aText, std::string& aTarget);

/// Reads `debug`, `info`, `warning` or `error`.
[[nodiscard]] Fault
ReadLogLevel(const std::string& aText, LogLevel& aTarget);

/// The items of a list joined by commas, without blanks and empty ones.
[[nodiscard]] std::vector<std::string>
SplitList(const std::string& aText);

} // namespace lagoonward
