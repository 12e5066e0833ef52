#include "Lagoonward/Core/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/systemerrwriter.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <atomic>
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

/// Writes to standard error. The library converts each character to the locale's; ASCII, which nearly
/// all lines are, is the same in every locale that it knows and goes out as it is.
class ErrorOutput final : public log4cxx::helpers::SystemErrWriter
{
public:
  void write(const log4cxx::LogString& aLine, log4cxx::helpers::Pool& aPool) override
  {
    if (!IsAscii(aLine)) {
      SystemErrWriter::write(aLine, aPool);
      return;
    }
    std::fwrite(aLine.data(), 1, aLine.size(), stderr);
  }
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

} // namespace

void
StartLogging(LogLevel aLevel)
{
  auto layout = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p %c: %m%n");
  auto appender =
    std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
  appender->setWriter(std::make_shared<ErrorOutput>());
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(ToLibraryLevel(aLevel));
  gLowestLevel = static_cast<int>(aLevel);
}

Log::Log(std::string_view aPrefix)
  : prefix(aPrefix)
{
}

void
Log::Format(LogLevel aLevel, fmt::string_view aFormat, fmt::format_args aArguments) const
{
  if (static_cast<int>(aLevel) < gLowestLevel) {
    return;
  }
  const log4cxx::LoggerPtr& logger = FindLogger(this->prefix);
  const std::string line = fmt::vformat(aFormat, aArguments);
  // The library converts from the locale's characters, which leaves ASCII as it is
  if (IsAscii(line)) {
    logger->forcedLogLS(ToLibraryLevel(aLevel), line, log4cxx::spi::LocationInfo());
  } else {
    logger->forcedLog(ToLibraryLevel(aLevel), line);
  }
}

} // namespace lagoonward
