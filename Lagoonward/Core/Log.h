#pragma once

#include <fmt/format.h>

#include <string_view>

namespace lagoonward {

/// How much is logged.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Sends all log lines to standard error from here on, those below aLevel excepted.
/// Called once by each program; without it nothing is printed.
void
StartLogging(LogLevel aLevel);

/// Log of one part of the daemon. Lines are short sentences behind the part's fixed prefix:
/// `2026-11-24T06:00:00.123Z INFO  routing: request r-1 goes to endpoint e-4.`
/// Copyable, cheap, safe from any thread.
class Log
{
public:
  /// @param aPrefix  fixed name of the part, a string literal
  explicit Log(std::string_view aPrefix);

  template<typename... Arguments>
  void Debug(fmt::format_string<Arguments...> aFormat, Arguments&&... aArguments) const
  {
    this->Format(LogLevel::Debug, aFormat, fmt::make_format_args(aArguments...));
  }

  template<typename... Arguments>
  void Info(fmt::format_string<Arguments...> aFormat, Arguments&&... aArguments) const
  {
    this->Format(LogLevel::Info, aFormat, fmt::make_format_args(aArguments...));
  }

  template<typename... Arguments>
  void Warning(fmt::format_string<Arguments...> aFormat, Arguments&&... aArguments) const
  {
    this->Format(LogLevel::Warning, aFormat, fmt::make_format_args(aArguments...));
  }

  template<typename... Arguments>
  void Error(fmt::format_string<Arguments...> aFormat, Arguments&&... aArguments) const
  {
    this->Format(LogLevel::Error, aFormat, fmt::make_format_args(aArguments...));
  }

private:
  void Format(LogLevel aLevel, fmt::string_view aFormat, fmt::format_args aArguments) const;

  std::string_view prefix;
};

} // namespace lagoonward
