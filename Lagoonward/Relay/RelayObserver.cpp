#include "Lagoonward/Relay/RelayObserver.h"

namespace lagoonward {

std::string_view
ToString(MoveKnowledge aMove)
{
  switch (aMove) {
    case MoveKnowledge::None:
      return "none";
    case MoveKnowledge::NoReply:
      return "no_reply";
    case MoveKnowledge::Moved:
      return "moved";
    case MoveKnowledge::NotStopped:
      return "not_stopped";
    case MoveKnowledge::Stopped:
      return "stopped";
    case MoveKnowledge::Unknown:
      return "unknown";
  }
  return "none";
}

} // namespace lagoonward
