#include "Lagoonward/Core/ProcessEnd.h"

#include "Lagoonward/Core/LogLine.h"

#include <cxxabi.h>
#include <pthread.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <memory>

namespace lagoonward {

namespace {

constexpr std::string_view kComponent = "process";
constexpr std::array kFatalSignals{ SIGSEGV, SIGBUS, SIGILL, SIGFPE };

/// Writes without buffers, as the process ends.
void
WriteNow(std::string_view aText)
{
  while (!aText.empty()) {
    const auto written = ::write(STDOUT_FILENO, aText.data(), aText.size());
    if (written <= 0) {
      return;
    }
    aText.remove_prefix(static_cast<std::size_t>(written));
  }
}

std::string
ThreadName()
{
  std::array<char, 16> name{};
  ::pthread_getname_np(::pthread_self(), name.data(), name.size());
  return name.data();
}

/// The type of the exception that is being handled.
std::string
ExceptionType()
{
  const std::type_info* const type = abi::__cxa_current_exception_type();
  if (type == nullptr) {
    return "none";
  }
  int status = 0;
  const std::unique_ptr<char, decltype(&std::free)> name(
    abi::__cxa_demangle(type->name(), nullptr, nullptr, &status), &std::free);
  return name == nullptr ? type->name() : name.get();
}

std::string
ExceptionMessage()
{
  const std::exception_ptr current = std::current_exception();
  if (current == nullptr) {
    return {};
  }
  try {
    std::rethrow_exception(current);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return {};
  }
}

[[noreturn]] void
OnTerminate()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  std::string line =
    BeginLogLine(LogLevel::Error, kComponent,
                 std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  AppendLogField(line, { "event", "process_ends" });
  AppendLogField(line, { "thread", ThreadName() });
  AppendLogField(line, { "exception", ExceptionType() });
  AppendLogField(line, { "message", ExceptionMessage() });
  WriteNow(line + "}\n");
  std::abort();
}

/// Uses async-signal-safe functions only. Its action is reset to the default one when it is called, so that the signal
/// that it raises ends the process.
void
OnFatalSignal(int aSignal)
{
  constexpr int kTen = 10;
  std::array<char, 2> number{ static_cast<char>('0' + aSignal / kTen),
                              static_cast<char>('0' + aSignal % kTen) };
  WriteNow(R"({"level":"error","part":"process","event":"process_ends","signal":")");
  WriteNow({ number.data(), number.size() });
  WriteNow("\"}\n");
  ::raise(aSignal);
}

} // namespace

void
ReportFatalErrors()
{
  std::set_terminate(&OnTerminate);
  struct sigaction action
  {};
  action.sa_handler = &OnFatalSignal;
  // The flag's type is that of the system's header
  action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
  for (const int signal : kFatalSignals) {
    ::sigaction(signal, &action, nullptr);
  }
}

void
NameThread(const char* aName)
{
  ::pthread_setname_np(::pthread_self(), aName);
}

} // namespace lagoonward
