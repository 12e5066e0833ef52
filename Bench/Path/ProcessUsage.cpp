#include "Bench/Path/ProcessUsage.h"

#include <fmt/format.h>
#include <malloc.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace lagoonward::bench {

namespace {

const std::string kTasks = "/proc/self/task";
constexpr double kNanosecondsPerSecond = 1e9;
constexpr double kMegabyte = 1U << 20U;

} // namespace

std::set<std::string>
ListThreads()
{
  std::set<std::string> threads;
  for (const auto& entry : std::filesystem::directory_iterator(kTasks)) {
    threads.insert(entry.path().filename().string());
  }
  return threads;
}

double
ProcessorSeconds(const std::set<std::string>& aThreads)
{
  double sum = 0;
  for (const std::string& thread : aThreads) {
    // The first field is the time spent on a processor, in nanoseconds
    std::ifstream file(fmt::format("{}/{}/schedstat", kTasks, thread));
    double nanoseconds = 0;
    file >> nanoseconds;
    sum += nanoseconds / kNanosecondsPerSecond;
  }
  return sum;
}

double
ResidentMegabytes()
{
  malloc_trim(0);
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kMegabyte;
}

} // namespace lagoonward::bench
