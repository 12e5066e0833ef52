#include "Lagoonward/Attempts/TokenEvent.h"

#include "Lagoonward/Core/JsonText.h"

#include <charconv>

namespace lagoonward {

namespace {

/// Removes a prefix and one space after it, if any. Returns false if the text does not start with the prefix.
bool
ConsumePrefix(std::string_view& aText, std::string_view aPrefix)
{
  if (!aText.starts_with(aPrefix)) {
    return false;
  }
  aText.remove_prefix(aPrefix.size());
  if (aText.starts_with(' ')) {
    aText.remove_prefix(1);
  }
  return true;
}

/// Removes and returns a JSON integer: digits without a sign or a leading zero.
std::optional<std::int64_t>
ConsumeIndex(std::string_view& aText)
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
ParsePlainToken(std::string_view aEvent)
{
  constexpr std::string_view kEnd = "\"}";
  TokenEvent token;
  if (!ConsumePrefix(aEvent, R"({"index":)")) {
    return std::nullopt;
  }
  const auto index = ConsumeIndex(aEvent);
  // ConsumePrefix() would remove a leading space of the token's text, so the opening quote is checked separately
  if (!index || !ConsumePrefix(aEvent, ",") || !ConsumePrefix(aEvent, R"("text":)") ||
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
