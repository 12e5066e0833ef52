#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace lagoonward {

/// Encodes a message between daemons in cereal's portable binary format.
template<typename Message>
[[nodiscard]] std::string
EncodePeerMessage(Message aMessage)
{
  std::ostringstream bytes;
  cereal::PortableBinaryOutputArchive archive(bytes);
  archive(aMessage);
  return std::move(bytes).str();
}

/// Decodes a message. The transport has limited its size and authenticated its sender.
/// @return nothing if it is malformed
template<typename Message>
[[nodiscard]] std::optional<Message>
DecodePeerMessage(std::string_view aBytes)
{
  try {
    std::istringstream bytes{ std::string(aBytes) };
    cereal::PortableBinaryInputArchive archive(bytes);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace lagoonward
