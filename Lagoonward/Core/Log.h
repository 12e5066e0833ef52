#pragma once

#include <fmt/format.h>

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace lagoonward {

/// How much is logged.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// How log lines look and where they go.
enum class LogFormat
{
  Text, ///< Sentences, to standard error.
  Json, ///< One JSON object a line, to standard output, without ever waiting for whoever reads it.
};

/// Sends all log lines out from here on, those below aLevel excepted.
/// Called once by each program; without it nothing is printed.
void
StartLogging(LogLevel aLevel, LogFormat aFormat = LogFormat::Text);

/// Lines that were not written since the start, as more came than the budget of lines a second allows.
[[nodiscard]] std::uint64_t
DroppedLogLines();

/// One named value of an event. Views must outlive the call only.
struct LogField
{
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;

  LogField(std::string_view aName, std::string_view aValue);
  LogField(std::string_view aName, const std::string& aValue);
  LogField(std::string_view aName, const char* aValue);
  LogField(std::string_view aName, double aValue);
  template<std::integral Integer>
  LogField(std::string_view aName, Integer aValue)
    : name(aName)
  {
    if constexpr (std::is_same_v<Integer, bool>) {
      this->value = aValue;
    } else {
      this->value = static_cast<std::int64_t>(aValue);
    }
  }
};

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

  /// Writes down one decision or change: a fixed name and the values that led to it.
  void Event(std::string_view aName, std::initializer_list<LogField> aFields) const;
  void Event(LogLevel aLevel, std::string_view aName,
             std::initializer_list<LogField> aFields) const;

private:
  void Write(LogLevel aLevel, const std::string& aLine) const;
  void Format(LogLevel aLevel, fmt::string_view aFormat, fmt::format_args aArguments) const;

  std::string_view prefix;
};

} // namespace lagoonward
