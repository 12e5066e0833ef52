#include "Lagoonward/Core/ProcessEnd.h"
#include "Lagoonward/Core/UniqueFd.h"

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>
#include <string>
#include <thread>

using namespace lagoonward;

namespace {

/// What a process wrote to standard output, and the signal that ended it.
struct End
{
  std::string output;
  int signal = 0;
};

/// Runs aAction in a process of its own that reports fatal errors.
template<typename Action>
End
RunInProcess(Action aAction)
{
  std::array<int, 2> pipe{};
  BOOST_TEST_REQUIRE(::pipe(pipe.data()) == 0);
  const pid_t child = ::fork();
  if (child == 0) {
    const rlimit noCore{ 0, 0 };
    ::setrlimit(RLIMIT_CORE, &noCore);
    ::dup2(pipe[1], STDOUT_FILENO);
    ::dup2(pipe[1], STDERR_FILENO);
    ::signal(SIGABRT, SIG_DFL);
    ReportFatalErrors();
    aAction();
    ::_exit(0);
  }
  const UniqueFd reader(pipe[0]);
  ::close(pipe[1]);
  End end;
  std::array<char, 4096> buffer{};
  for (;;) {
    const auto count = ::read(reader.Get(), buffer.data(), buffer.size());
    if (count <= 0) {
      break;
    }
    end.output.append(buffer.data(), static_cast<std::size_t>(count));
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  end.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  return end;
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProcessEndTests)

// Guards against a process that ends by itself without a word of why.
BOOST_AUTO_TEST_CASE(ExceptionThatLeavesAThreadIsReported)
{
  const End end = RunInProcess([] {
    std::thread([] {
      NameThread("worker");
      throw std::runtime_error("no \"room\"");
    }).join();
  });
  BOOST_TEST(end.signal == SIGABRT);
  BOOST_TEST(Contains(end.output, R"("event":"process_ends","thread":"worker")"));
  BOOST_TEST(Contains(end.output, R"("exception":"std::runtime_error","message":"no \"room\"")"));
}

BOOST_AUTO_TEST_CASE(FatalSignalIsReported)
{
  const End end = RunInProcess([] { ::raise(SIGFPE); });
  BOOST_TEST(end.signal == SIGFPE);
  BOOST_TEST(Contains(end.output, R"("event":"process_ends","signal":"08")"));
}

BOOST_AUTO_TEST_SUITE_END()
