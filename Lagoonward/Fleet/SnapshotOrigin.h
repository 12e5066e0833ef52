#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <string>

namespace lagoonward {

/// Where a snapshot of the endpoints comes from. Its addresses are for log lines only.
struct SnapshotOrigin
{
  std::uint64_t readerKey = 0; ///< PeerKey of the daemon that has read the source; zero if unknown.
  std::string reader;          ///< Address of that daemon; "unknown" if it is no peer any more.
  std::string sender;          ///< Address of the daemon that sent it here, or of this one.
  Milliseconds age{ 0 };       ///< On its arrival here.
};

} // namespace lagoonward
