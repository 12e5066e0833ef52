#pragma once

#include "Lagoonward/Core/Result.h"

#include <cereal/archives/portable_binary.hpp>

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

/// Largest byte string in a message.
inline constexpr std::size_t kMaximumWireBytes = 1U << 20U;

/// (De)serializes a list whose length is encoded as Count. A longer list is a bug of the sender.
template<typename Count, class Archive, typename Element>
void
SerializeList(Archive& aArchive, std::vector<Element>& aList)
{
  if (aList.size() > std::numeric_limits<Count>::max()) {
    throw cereal::Exception("list is too long for its length field");
  }
  auto count = static_cast<Count>(aList.size());
  aArchive(count);
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

/// (De)serializes a byte string whose length is encoded as Count.
template<typename Count, class Archive>
void
SerializeBytes(Archive& aArchive, std::string& aBytes)
{
  if (aBytes.size() > std::numeric_limits<Count>::max()) {
    throw cereal::Exception("byte string is too long for its length field");
  }
  auto count = static_cast<Count>(aBytes.size());
  aArchive(count);
  if (count > kMaximumWireBytes) {
    throw cereal::Exception("byte string exceeds the maximum size in a message");
  }
  if constexpr (Archive::is_loading::value) {
    aBytes.resize(count);
  }
  aArchive(cereal::binary_data(aBytes.data(), aBytes.size()));
}

/// (De)serializes a map whose length is encoded as Count.
/// @param aEntry  (de)serializes one key and its value; called with both
template<typename Count, class Archive, typename Map, typename SerializeEntry>
void
SerializeMap(Archive& aArchive, Map& aMap, const SerializeEntry& aEntry)
{
  if (aMap.size() > std::numeric_limits<Count>::max()) {
    throw cereal::Exception("map is too large for its length field");
  }
  auto count = static_cast<Count>(aMap.size());
  aArchive(count);
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

/// Encodes a message in cereal's portable binary format.
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
