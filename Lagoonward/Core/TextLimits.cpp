#include "Lagoonward/Core/TextLimits.h"

#include <fmt/format.h>

namespace lagoonward {

namespace {

/// Whether a byte is one of a UTF-8 character after its first.
bool
IsContinuation(char aByte)
{
  constexpr unsigned kKindMask = 0xC0;
  constexpr unsigned kContinuation = 0x80;
  return (static_cast<unsigned char>(aByte) & kKindMask) == kContinuation;
}

} // namespace

std::string
ShortenText(std::string_view aText, std::size_t aMaximumBytes)
{
  if (aText.size() <= aMaximumBytes) {
    return std::string(aText);
  }
  // A longer run of such bytes is no UTF-8 anyway
  constexpr std::size_t kLongestTail = 3;
  std::size_t end = aMaximumBytes;
  while (end > 0 && aMaximumBytes - end < kLongestTail && IsContinuation(aText[end])) {
    --end;
  }
  return fmt::format("{}... ({} more bytes)", aText.substr(0, end), aText.size() - end);
}

} // namespace lagoonward
