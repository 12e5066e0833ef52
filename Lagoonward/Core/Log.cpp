#include "Lagoonward/Core/Log.h"

#include "Lagoonward/Core/LogLine.h"
#include "Lagoonward/Core/TextLimits.h"

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

/// Lowest level that is logged; one above Error until StartLogging() is called, so that nothing is logged.
std::atomic<int> gLowestLevel{ static_cast<int>(LogLevel::Error) + 1 };

log4cxx::LevelPtr
ToLog4cxxLevel(LogLevel aLevel)
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

/// Writes to one of the process's standard streams. log4cxx converts each character to the locale's encoding.
/// ASCII is the same in every encoding that it supports, so ASCII lines, which are nearly all, skip the conversion.
class StandardStreamWriter final : public log4cxx::helpers::SystemErrWriter
{
public:
  explicit StandardStreamWriter(std::FILE* aStream)
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

/// Returns the log4cxx logger of a prefix. A lookup in log4cxx takes a lock and copies the name, so each thread
/// caches the loggers that it has used. Prefixes are string literals, so the cache compares their addresses.
const log4cxx::LoggerPtr&
FindLogger(std::string_view aPrefix)
{
  thread_local std::vector<std::pair<const char*, log4cxx::LoggerPtr>> loggers;
  const auto found = std::find_if(loggers.begin(), loggers.end(), [&](const auto& aEntry) {
    return aEntry.first == aPrefix.data();
  });
  if (found != loggers.end()) {
    return found->second;
  }
  loggers.emplace_back(aPrefix.data(), log4cxx::Logger::getLogger(std::string(aPrefix)));
  return loggers.back().second;
}

/// Maximum number of lines written per second; all of them may come in one burst. A line costs about
/// 20 microseconds, so logging stays below a tenth of the processor time of a small host.
constexpr std::int64_t kMaximumLinesPerSecond = 1000;

/// The same in bytes, for lines with long texts. A line has some hundred bytes as a rule.
constexpr std::int64_t kMaximumBytesPerSecond = 1'000'000;

constexpr std::int64_t kMillisecondsPerSecond = 1000;

/// Capacity of the queue of lines to standard output. Lines are dropped while it is full.
constexpr int kQueueCapacity = 4096;

std::atomic<bool> gIsJson{ false };
std::atomic<std::int64_t> gLineBudgetSecond{ 0 };
std::atomic<std::int64_t> gLinesThisSecond{ 0 };
std::atomic<std::int64_t> gBytesThisSecond{ 0 };
std::atomic<std::uint64_t> gDroppedLines{ 0 };

/// Consumes one line of the budget of lines and bytes per second. Errors are always written.
/// @return false if the line must be dropped
bool
TryConsumeLine(LogLevel aLevel, std::int64_t aSecond)
{
  if (gLineBudgetSecond.exchange(aSecond) != aSecond) {
    gLinesThisSecond = 0;
    gBytesThisSecond = 0;
  }
  const bool isWithinBudget =
    ++gLinesThisSecond <= kMaximumLinesPerSecond && gBytesThisSecond < kMaximumBytesPerSecond;
  if (isWithinBudget || aLevel == LogLevel::Error) {
    return true;
  }
  ++gDroppedLines;
  return false;
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
    console->setWriter(std::make_shared<StandardStreamWriter>(stdout));
    auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(kQueueCapacity);
    queue->setBlocking(false);
    queue->addAppender(console);
    log4cxx::BasicConfigurator::configure(queue);
  } else {
    auto layout = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p %c: %m%n");
    auto console =
      std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    console->setWriter(std::make_shared<StandardStreamWriter>(stderr));
    log4cxx::BasicConfigurator::configure(console);
  }
  log4cxx::Logger::getRootLogger()->setLevel(ToLog4cxxLevel(aLevel));
  gLowestLevel = static_cast<int>(aLevel);
}

std::uint64_t
DroppedLogLines()
{
  return gDroppedLines;
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
      AppendLogField(line, field);
    }
    this->Write(aLevel, line);
    return;
  }
  const std::int64_t now = NowMilliseconds();
  if (!TryConsumeLine(aLevel, now / kMillisecondsPerSecond)) {
    return;
  }
  std::string line = BeginLogLine(aLevel, this->prefix, now);
  AppendLogField(line, { "event", aName });
  for (const LogField& field : aFields) {
    AppendLogField(line, field);
  }
  line += '}';
  gBytesThisSecond += static_cast<std::int64_t>(line.size());
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
    this->Write(aLevel, ShortenText(line, kMaximumLoggedText));
  }
}

void
Log::Write(LogLevel aLevel, const std::string& aLine) const
{
  const log4cxx::LoggerPtr& logger = FindLogger(this->prefix);
  // forcedLog() converts from the locale's encoding; ASCII needs no conversion
  if (IsAscii(aLine)) {
    logger->forcedLogLS(ToLog4cxxLevel(aLevel), aLine, log4cxx::spi::LocationInfo());
  } else {
    logger->forcedLog(ToLog4cxxLevel(aLevel), aLine);
  }
}

} // namespace lagoonward
