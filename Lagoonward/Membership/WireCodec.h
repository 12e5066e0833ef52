#pragma once

#include "Lagoonward/Core/Result.h"

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <istream>
#include <limits>
#include <ostream>
#include <span>
#include <streambuf>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Stream buffer that reads from a byte string that it does not own.
class ReadBuffer final : public std::streambuf
{
public:
  explicit ReadBuffer(std::string_view aBytes);

  /// Number of bytes not read yet.
  [[nodiscard]] std::size_t Remaining() const;
};

/// Stream buffer that appends to a string that it does not own.
class WriteBuffer final : public std::streambuf
{
public:
  explicit WriteBuffer(std::string& aTarget);

protected:
  // NOLINTNEXTLINE(readability-identifier-naming): the base class's name
  std::streamsize xsputn(const char* aBytes, std::streamsize aCount) override;
  int_type overflow(int_type aByte) override; // NOLINT(readability-identifier-naming)

private:
  std::string& target;
};

/// Largest byte string that is accepted in a message.
inline constexpr std::size_t kMaximumWireBytes = 1U << 20U;

/// (De)serializes the length of a list, a map or a byte string as Count. A length for which Count is too small follows
/// its greatest value as 32 bits, so that any name and any number of entries can be encoded. The length of a message as
/// a whole is bounded by the transport.
/// @return the length
template<typename Count, class Archive>
std::size_t
SerializeLength(Archive& aArchive, std::size_t aLength)
{
  constexpr std::size_t kEscape = std::numeric_limits<Count>::max();
  auto count = static_cast<Count>(std::min(aLength, kEscape));
  aArchive(count);
  if (count < kEscape) {
    return count;
  }
  auto longCount = static_cast<std::uint32_t>(aLength);
  aArchive(longCount);
  if (longCount < kEscape) {
    throw cereal::Exception("a length is not encoded in its shortest form");
  }
  return longCount;
}

/// (De)serializes a list whose length is encoded as Count, see SerializeLength().
template<typename Count, class Archive, typename Element>
void
SerializeList(Archive& aArchive, std::vector<Element>& aList)
{
  const std::size_t count = SerializeLength<Count>(aArchive, aList.size());
  if constexpr (Archive::is_loading::value) {
    // Grows element by element, so that a false count does not cause a large allocation
    aList.clear();
    for (std::size_t index = 0; index < count; ++index) {
      aArchive(aList.emplace_back());
    }
  } else {
    for (Element& element : aList) {
      aArchive(element);
    }
  }
}

/// (De)serializes a byte string whose length is encoded as Count, see SerializeLength().
template<typename Count, class Archive>
void
SerializeBytes(Archive& aArchive, std::string& aBytes)
{
  const std::size_t count = SerializeLength<Count>(aArchive, aBytes.size());
  if constexpr (Archive::is_loading::value) {
    if (count > kMaximumWireBytes) {
      throw cereal::Exception("byte string exceeds the maximum size in a message");
    }
    aBytes.resize(count);
  }
  aArchive(cereal::binary_data(aBytes.data(), aBytes.size()));
}

/// (De)serializes a map whose length is encoded as Count, see SerializeLength().
/// @param aEntry  (de)serializes one key and its value; called with both
template<typename Count, class Archive, typename Map, typename SerializeEntry>
void
SerializeMap(Archive& aArchive, Map& aMap, const SerializeEntry& aEntry)
{
  const std::size_t count = SerializeLength<Count>(aArchive, aMap.size());
  if constexpr (Archive::is_loading::value) {
    aMap.clear();
    for (std::size_t index = 0; index < count; ++index) {
      typename Map::key_type key{};
      typename Map::mapped_type value{};
      aEntry(key, value);
      aMap.insert_or_assign(std::move(key), std::move(value));
    }
  } else {
    for (auto& [entryKey, value] : aMap) {
      typename Map::key_type key = entryKey;
      aEntry(key, value);
    }
  }
}

/// Encodes a message in cereal's portable binary format. No content makes it fail: what a message may not contain is
/// rejected by its receiver.
template<typename Message>
[[nodiscard]] std::string
EncodeMessage(const Message& aMessage)
{
  std::string bytes;
  WriteBuffer buffer(bytes);
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(aMessage);
  return bytes;
}

/// Decodes one message that spans all of the bytes.
/// @return InvalidRequest otherwise; never throws
template<typename Message>
[[nodiscard]] Result<Message>
DecodeMessage(std::string_view aBytes)
{
  try {
    ReadBuffer buffer(aBytes);
    std::istream stream(&buffer);
    cereal::PortableBinaryInputArchive archive(stream);
    Message message;
    archive(message);
    if (buffer.Remaining() != 0) {
      return Error(ErrorKind::InvalidRequest, "unexpected bytes after the message body");
    }
    return message;
  } catch (const std::exception& exception) {
    return Error(ErrorKind::InvalidRequest, exception.what());
  }
}

} // namespace lagoonward
