#pragma once

#include <cstddef>
#include <string>

namespace lagoonward {

/// Empties a string and frees its memory, which an assignment of an empty string would keep.
inline void
FreeString(std::string& aText)
{
  std::string().swap(aText);
}

/// Bytes of memory that a string occupies beside the object itself.
[[nodiscard]] inline std::size_t
HeapBytes(const std::string& aText)
{
  const std::size_t inObject = std::string().capacity();
  return aText.capacity() > inObject ? aText.capacity() + 1 : 0;
}

} // namespace lagoonward
