#include "Lagoonward/Core/Log.h"

#include "Lagoonward/Core/JsonText.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/systemerrwriter.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lagoonward {

namespace {

/// Lowest level that is logged; one past Error while logging has not been started.
std::atomic<int> gLowestLevel{ static_cast<int>(LogLevel::Error) + 1 };

log4cxx::LevelPtr
ToLibraryLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warning:
      return log4cxx::Level::getWarn();
    case LogLevel::Error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

bool
IsAscii(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(),
                     [](char aByte) { return static_cast<unsigned char>(aByte) < 0x80; });
}

/// Writes to one of the process's standard streams. The library converts each character to the locale's;
/// ASCII, which nearly all lines are, is the same in every locale that it knows and goes out as it is.
class StandardOutput final : public log4cxx::helpers::SystemErrWriter
{
public:
  explicit StandardOutput(std::FILE* aStream)
    : stream(aStream)
  {
  }

  void write(const log4cxx::LogString& aLine, log4cxx::helpers::Pool& aPool) override
  {
    if (!IsAscii(aLine)) {
      std::string text;
      log4cxx::helpers::Transcoder::encode(aLine, text);
      std::fwrite(text.data(), 1, text.size(), this->stream);
    } else {
      std::fwrite(aLine.data(), 1, aLine.size(), this->stream);
    }
    this->flush(aPool);
  }

  void flush(log4cxx::helpers::Pool& /*aPool*/) override { std::fflush(this->stream); }

private:
  std::FILE* stream;
};

/// The library's logger of a prefix. Looking one up takes a lock and copies the name, so each thread
/// keeps those it has used; prefixes are string literals, so their addresses tell them apart.
const log4cxx::LoggerPtr&
FindLogger(std::string_view aPrefix)
{
  thread_local std::vector<std::pair<const char*, log4cxx::LoggerPtr>> known;
  const auto found = std::find_if(
    known.begin(), known.end(), [&](const auto& aEntry) { return aEntry.first == aPrefix.data(); });
  if (found != known.end()) {
    return found->second;
  }
  known.emplace_back(aPrefix.data(), log4cxx::Logger::getLogger(std::string(aPrefix)));
  return known.back().second;
}

/// Lines a second that are written; as many may come at once. Keeps logging below a tenth of a small
/// host's processor: a line costs about 20 microseconds.
constexpr std::int64_t kLinesPerSecond = 1000;
constexpr std::int64_t kMillisecondsPerSecond = 1000;

/// Lines that wait for whoever reads standard output; more are dropped.
constexpr int kQueuedLines = 4096;

std::atomic<bool> gIsJson{ false };
std::atomic<std::int64_t> gBudgetSecond{ 0 };
std::atomic<std::int64_t> gLinesThisSecond{ 0 };
std::atomic<std::uint64_t> gDropped{ 0 };

/// Whether one more line fits the budget. Errors always do.
bool
TakeLine(LogLevel aLevel, std::int64_t aSecond)
{
  if (gBudgetSecond.exchange(aSecond) != aSecond) {
    gLinesThisSecond = 0;
  }
  if (++gLinesThisSecond <= kLinesPerSecond || aLevel == LogLevel::Error) {
    return true;
  }
  ++gDropped;
  return false;
}

std::string_view
NameOf(LogLevel aLevel)
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
AppendField(std::string& aLine, const LogField& aField)
{
  aLine += ',';
  AppendJsonText(aLine, aField.name);
  aLine += ':';
  if (const auto* text = std::get_if<std::string_view>(&aField.value)) {
    AppendJsonText(aLine, *text);
  } else if (const auto* number = std::get_if<std::int64_t>(&aField.value)) {
    aLine += fmt::to_string(*number);
  } else if (const auto* real = std::get_if<double>(&aField.value)) {
    aLine += fmt::format("{:.6g}", *real);
  } else {
    aLine += std::get<bool>(aField.value) ? "true" : "false";
  }
}

/// The beginning of a JSON line: when, how grave, which part.
std::string
BeginJson(LogLevel aLevel, std::string_view aPart, std::int64_t aMilliseconds)
{
  std::string line =
    fmt::format(R"({{"time":{},"level":"{}","part":)", aMilliseconds, NameOf(aLevel));
  AppendJsonText(line, aPart);
  return line;
}

std::int64_t
NowMilliseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

void
StartLogging(LogLevel aLevel, LogFormat aFormat)
{
  gIsJson = aFormat == LogFormat::Json;
  if (gIsJson) {
    auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    auto console =
      std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    console->setWriter(std::make_shared<StandardOutput>(stdout));
    auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(kQueuedLines);
    queue->setBlocking(false);
    queue->addAppender(console);
    log4cxx::BasicConfigurator::configure(queue);
  } else {
    auto layout = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p %c: %m%n");
    auto console =
      std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    console->setWriter(std::make_shared<StandardOutput>(stderr));
    log4cxx::BasicConfigurator::configure(console);
  }
  log4cxx::Logger::getRootLogger()->setLevel(ToLibraryLevel(aLevel));
  gLowestLevel = static_cast<int>(aLevel);
}

std::uint64_t
DroppedLogLines()
{
  return gDropped;
}

LogField::LogField(std::string_view aName, std::string_view aValue)
  : name(aName)
  , value(aValue)
{
}

LogField::LogField(std::string_view aName, const std::string& aValue)
  : LogField(aName, std::string_view(aValue))
{
}

LogField::LogField(std::string_view aName, const char* aValue)
  : LogField(aName, std::string_view(aValue))
{
}

LogField::LogField(std::string_view aName, double aValue)
  : name(aName)
  , value(aValue)
{
}

Log::Log(std::string_view aPrefix)
  : prefix(aPrefix)
{
}

void
Log::Event(std::string_view aName, std::initializer_list<LogField> aFields) const
{
  this->Event(LogLevel::Info, aName, aFields);
}

void
Log::Event(LogLevel aLevel, std::string_view aName, std::initializer_list<LogField> aFields) const
{
  if (static_cast<int>(aLevel) < gLowestLevel) {
    return;
  }
  if (!gIsJson) {
    std::string line(aName);
    for (const LogField& field : aFields) {
      AppendField(line, field);
    }
    this->Write(aLevel, line);
    return;
  }
  const std::int64_t now = NowMilliseconds();
  if (!TakeLine(aLevel, now / kMillisecondsPerSecond)) {
    return;
  }
  std::string line = BeginJson(aLevel, this->prefix, now);
  AppendField(line, { "event", aName });
  for (const LogField& field : aFields) {
    AppendField(line, field);
  }
  line += '}';
  this->Write(aLevel, line);
}

void
Log::Format(LogLevel aLevel, fmt::string_view aFormat, fmt::format_args aArguments) const
{
  if (static_cast<int>(aLevel) < gLowestLevel) {
    return;
  }
  const std::string line = fmt::vformat(aFormat, aArguments);
  if (gIsJson) {
    this->Event(aLevel, "note", { { "message", line } });
  } else {
    this->Write(aLevel, line);
  }
}

void
Log::Write(LogLevel aLevel, const std::string& aLine) const
{
  const log4cxx::LoggerPtr& logger = FindLogger(this->prefix);
  // The library converts from the locale's characters, which leaves ASCII as it is
  if (IsAscii(aLine)) {
    logger->forcedLogLS(ToLibraryLevel(aLevel), aLine, log4cxx::spi::LocationInfo());
  } else {
    logger->forcedLog(ToLibraryLevel(aLevel), aLine);
  }
}

} // namespace lagoonward
