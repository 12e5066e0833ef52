#include "Lagoonward/Core/LogLine.h"

#include "Lagoonward/Core/JsonText.h"
#include "Lagoonward/Core/TextLimits.h"

namespace lagoonward {

namespace {

std::string_view
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "info";
}

void
AppendText(std::string& aLine, std::string_view aText)
{
  if (aText.size() <= kMaximumLoggedText) {
    AppendJsonText(aLine, aText);
  } else {
    AppendJsonText(aLine, ShortenText(aText, kMaximumLoggedText));
  }
}

} // namespace

std::string
BeginLogLine(LogLevel aLevel, std::string_view aComponent, std::int64_t aMilliseconds)
{
  std::string line =
    fmt::format(R"({{"time":{},"level":"{}","part":)", aMilliseconds, LevelName(aLevel));
  AppendJsonText(line, aComponent);
  return line;
}

void
AppendLogField(std::string& aLine, const LogField& aField)
{
  aLine += ',';
  AppendJsonText(aLine, aField.name);
  aLine += ':';
  if (const auto* text = std::get_if<std::string_view>(&aField.value)) {
    AppendText(aLine, *text);
  } else if (const auto* number = std::get_if<std::int64_t>(&aField.value)) {
    aLine += fmt::to_string(*number);
  } else if (const auto* real = std::get_if<double>(&aField.value)) {
    aLine += fmt::format("{:.6g}", *real);
  } else {
    aLine += std::get<bool>(aField.value) ? "true" : "false";
  }
}

} // namespace lagoonward
