#pragma once

#include <span>
#include <string>

namespace lagoonward::bench {

/// `lagoonward-bench queue`: processor time and allocations of the messages that give out slots, at an owner of all pools of 3,000
/// endpoints with 300 daemons as clients, with empty queues and with hundreds of requests waiting in each pool.
/// @return the program's exit code: 2 for invalid arguments
int
RunQueueBench(std::span<const std::string> aArguments);

} // namespace lagoonward::bench
