#include "StandIns/Commands.h"

#include <curl/curl.h>

#include <iostream>

int
main(int argc, char** argv)
{
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.empty() || arguments.front() == "--help") {
    std::cout << lagoonward::standins::Usage();
    return arguments.empty() ? 2 : 0;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const auto status =
    lagoonward::standins::RunCommand(arguments.front(), { arguments.begin() + 1, arguments.end() });
  curl_global_cleanup();
  return status;
}
