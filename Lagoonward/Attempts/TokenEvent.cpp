#include "Lagoonward/Attempts/TokenEvent.h"

#include "Lagoonward/Core/JsonText.h"

#include <charconv>

namespace lagoonward {

namespace {

/// Takes a prefix off the text, and one space after it.
bool
TakeMark(std::string_view& aText, std::string_view aMark)
{
  if (!aText.starts_with(aMark)) {
    return false;
  }
  aText.remove_prefix(aMark.size());
  if (aText.starts_with(' ')) {
    aText.remove_prefix(1);
  }
  return true;
}

/// Takes a number as JSON writes it: digits without a leading zero.
std::optional<std::int64_t>
TakeIndex(std::string_view& aText)
{
  std::int64_t index = 0;
  const auto [end, failure] = std::from_chars(aText.data(), aText.data() + aText.size(), index);
  const auto length = static_cast<std::size_t>(end - aText.data());
  if (failure != std::errc() || index < 0 || aText[0] == '-' || (aText[0] == '0' && length > 1)) {
    return std::nullopt;
  }
  aText.remove_prefix(length);
  return index;
}

} // namespace

std::optional<TokenEvent>
ReadPlainToken(std::string_view aEvent)
{
  constexpr std::string_view kEnd = "\"}";
  TokenEvent token;
  if (!TakeMark(aEvent, R"({"index":)")) {
    return std::nullopt;
  }
  const auto index = TakeIndex(aEvent);
  // The text's own first space must stay, so its quote is taken by itself
  if (!index || !TakeMark(aEvent, ",") || !TakeMark(aEvent, R"("text":)") ||
      !aEvent.starts_with('"') || aEvent.size() <= kEnd.size() || !aEvent.ends_with(kEnd)) {
    return std::nullopt;
  }
  token.index = *index;
  token.text = aEvent.substr(1, aEvent.size() - 1 - kEnd.size());
  if (!IsPlainJsonText(token.text)) {
    return std::nullopt;
  }
  return token;
}

} // namespace lagoonward
