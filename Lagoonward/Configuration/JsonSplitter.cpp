#include "Lagoonward/Configuration/JsonSplitter.h"

#include <cstddef>

namespace lagoonward {

namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

std::string_view
Trim(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kWhitespace) - first + 1);
}

/// Position after the string that begins with a quote at aStart; npos if it does not end.
std::size_t
EndOfString(std::string_view aText, std::size_t aStart)
{
  for (std::size_t index = aStart + 1; index < aText.size(); ++index) {
    if (aText[index] == '\\') {
      ++index;
    } else if (aText[index] == '"') {
      return index + 1;
    }
  }
  return std::string_view::npos;
}

/// Splits at the commas of the outermost level between the brackets.
std::optional<std::vector<std::string_view>>
SplitItems(std::string_view aText, char aOpening, char aClosing)
{
  const std::string_view text = Trim(aText);
  if (text.size() < 2 || text.front() != aOpening || text.back() != aClosing) {
    return std::nullopt;
  }
  const std::string_view inner = text.substr(1, text.size() - 2);
  std::vector<std::string_view> items;
  if (Trim(inner).empty()) {
    return items;
  }
  int depth = 0;
  std::size_t itemStart = 0;
  for (std::size_t index = 0; index < inner.size();) {
    const char character = inner[index];
    if (character == '"') {
      index = EndOfString(inner, index);
      if (index == std::string_view::npos) {
        return std::nullopt;
      }
      continue;
    }
    if (character == '{' || character == '[') {
      ++depth;
    } else if (character == '}' || character == ']') {
      --depth;
      if (depth < 0) {
        return std::nullopt;
      }
    } else if (character == ',' && depth == 0) {
      items.push_back(Trim(inner.substr(itemStart, index - itemStart)));
      itemStart = index + 1;
    }
    ++index;
  }
  if (depth != 0) {
    return std::nullopt;
  }
  items.push_back(Trim(inner.substr(itemStart)));
  return items;
}

} // namespace

std::optional<std::vector<JsonMemberText>>
SplitJsonObject(std::string_view aText)
{
  const auto items = SplitItems(aText, '{', '}');
  if (!items) {
    return std::nullopt;
  }
  std::vector<JsonMemberText> members;
  for (const std::string_view item : *items) {
    const std::size_t nameEnd =
      item.empty() || item.front() != '"' ? std::string_view::npos : EndOfString(item, 0);
    const std::size_t colon =
      nameEnd == std::string_view::npos ? nameEnd : item.find_first_not_of(kWhitespace, nameEnd);
    if (colon == std::string_view::npos || item[colon] != ':') {
      return std::nullopt;
    }
    members.push_back({ item.substr(1, nameEnd - 2), Trim(item.substr(colon + 1)) });
  }
  return members;
}

std::optional<std::vector<std::string_view>>
SplitJsonArray(std::string_view aText)
{
  return SplitItems(aText, '[', ']');
}

} // namespace lagoonward
