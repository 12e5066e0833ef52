#include "Lagoonward/Reclaim/MoveTypes.h"

namespace lagoonward {

std::string_view
ToString(StreamMoveKind aKind)
{
  switch (aKind) {
    case StreamMoveKind::FinishInPlace:
      return "finish_in_place";
    case StreamMoveKind::ExportImport:
      return "export_import";
    case StreamMoveKind::Reprefill:
      return "reprefill";
    case StreamMoveKind::Unplaced:
      break;
  }
  return "unplaced";
}

} // namespace lagoonward
