#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

std::int64_t
ToUnixMilliseconds(WallTime aTime)
{
  return std::chrono::duration_cast<Milliseconds>(aTime.time_since_epoch()).count();
}

WallTime
FromUnixMilliseconds(std::int64_t aMilliseconds)
{
  return WallTime(Milliseconds(aMilliseconds));
}

} // namespace lagoonward
