#include "Lagoonward/Core/JsonText.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonward {

bool
IsPlainJsonText(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aByte) {
    return aByte >= ' ' && aByte <= '~' && aByte != '"' && aByte != '\\';
  });
}

void
AppendJsonText(std::string& aTarget, std::string_view aText)
{
  if (!IsPlainJsonText(aText)) {
    using Json = nlohmann::json;
    aTarget += Json(aText).dump(-1, ' ', false, Json::error_handler_t::replace);
    return;
  }
  aTarget += '"';
  aTarget += aText;
  aTarget += '"';
}

} // namespace lagoonward
