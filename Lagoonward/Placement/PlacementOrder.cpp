#include "Lagoonward/Placement/PlacementOrder.h"

namespace lagoonward {

std::string_view
ToString(PlacementOrder::Kind aKind)
{
  switch (aKind) {
    case PlacementOrder::Kind::Load:
      return "load";
    case PlacementOrder::Kind::Unload:
      return "unload";
    case PlacementOrder::Kind::StartHost:
      return "start_host";
    case PlacementOrder::Kind::StopHost:
      break;
  }
  return "stop_host";
}

} // namespace lagoonward
