#include "Lagoonward/Reclaim/MoveTypes.h"

namespace lagoonward {

std::string_view
ToString(MoveKind aKind)
{
  switch (aKind) {
    case MoveKind::FinishInPlace:
      return "finish_in_place";
    case MoveKind::ExportImport:
      return "export_import";
    case MoveKind::Reprefill:
      return "reprefill";
    case MoveKind::Unplaced:
      break;
  }
  return "unplaced";
}

} // namespace lagoonward
