#include "Lagoonward/Core/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <atomic>
#include <memory>
#include <string>

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

} // namespace

void
StartLogging(LogLevel aLevel)
{
  auto layout = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p %c: %m%n");
  auto appender =
    std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
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
  const auto logger = log4cxx::Logger::getLogger(std::string(this->prefix));
  logger->forcedLog(ToLibraryLevel(aLevel), fmt::vformat(aFormat, aArguments));
}

} // namespace lagoonward
