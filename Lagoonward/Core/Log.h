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

/// Severity of a log line.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Format and destination of log lines.
enum class LogFormat
{
  Text, ///< Sentences, to standard error.
  Json, ///< One JSON object per line, to standard output. Never blocks on a slow reader of standard output.
};

/// Enables logging of all lines at aLevel and above. Called once by each program; nothing is printed before.
void
StartLogging(LogLevel aLevel, LogFormat aFormat = LogFormat::Text);

/// Number of lines dropped since the start because the limit of lines per second was exceeded.
[[nodiscard]] std::uint64_t
DroppedLogLines();

/// One named value of an event. Views need to stay valid only during the call of Log::Event().
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

/// Logger of one component of the daemon. A text line is a short sentence after the component's fixed prefix:
/// `2026-11-24T06:00:00.123Z INFO  routing: request r-1 goes to endpoint e-4.`
/// Cheap to copy. Thread-safe.
class Log
{
public:
  /// @param aPrefix  fixed name of the component; must be a string literal, since its address is the cache key
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

  /// Logs one decision or state change: a fixed event name and the values it was based on.
  void Event(std::string_view aName, std::initializer_list<LogField> aFields) const;
  void Event(LogLevel aLevel, std::string_view aName,
             std::initializer_list<LogField> aFields) const;

private:
  void Write(LogLevel aLevel, const std::string& aLine) const;
  void Format(LogLevel aLevel, fmt::string_view aFormat, fmt::format_args aArguments) const;

  std::string_view prefix;
};

} // namespace lagoonward
