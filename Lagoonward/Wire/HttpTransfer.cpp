#include "Lagoonward/Wire/HttpTransfer.h"

namespace lagoonward {

std::string_view
ToString(BodyEnd aEnd)
{
  switch (aEnd) {
    case BodyEnd::None:
      return "none";
    case BodyEnd::Stated:
      return "stated";
    case BodyEnd::Connection:
      return "connection";
  }
  return "none";
}

} // namespace lagoonward
