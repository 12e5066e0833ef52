#pragma once

#include "Lagoonward/Membership/KeyRing.h"
#include "Lagoonward/Membership/Messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace lagoonward {

/// Identifies a datagram and its sender. Followed on the wire by the Datagram and the tag.
struct DatagramHeader
{
  std::uint16_t version = kProtocolVersion;
  std::uint8_t keyId = 0;
  std::uint32_t cluster = 0;
  PeerKey sender = 0;
  std::uint64_t session = 0;  ///< Rises with each start of the sender.
  std::uint32_t sequence = 0; ///< Rises with each datagram of a session.
  std::uint32_t sentAt = 0;   ///< The sender's calendar time in seconds.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->version, this->keyId, this->cluster, this->sender, this->session, this->sequence,
             this->sentAt);
  }
};

/// A datagram whose tag was right.
struct OpenedDatagram
{
  DatagramHeader header;
  Datagram body;
};

/// Bytes of an empty datagram of the Spread kind, header and tag included.
inline constexpr std::size_t kDatagramOverhead = 1 + 31 + 1 + 4 + sizeof(MessageTag);

/// Bytes for the wire. The tag also covers the receiver, so that a datagram recorded on its way to
/// one daemon means nothing to another.
[[nodiscard]] std::string
SealDatagram(const KeyRing& aKeys, PeerKey aReceiver, DatagramHeader aHeader,
             const Datagram& aDatagram);

/// Checks version, cluster and tag before anything else is decoded.
/// @return InvalidRequest (malformed, other version or cluster) or Unauthorized (wrong tag)
[[nodiscard]] Result<OpenedDatagram>
OpenDatagram(const KeyRing& aKeys, PeerKey aReceiver, std::string_view aBytes);

/// What the tag of a frame is bound to, beside its bytes.
struct FrameContext
{
  std::string_view nonce;      ///< Drawn by the accepting side for this connection.
  bool fromConnecting = false; ///< Direction.
  std::uint64_t number = 0;    ///< Frames sent before this one in that direction.
};

/// Bytes of a frame behind its length prefix.
[[nodiscard]] std::string
SealFrame(const KeyRing& aKeys, const FrameContext& aContext, const Frame& aFrame);

/// Inverse of SealFrame(), without the length prefix. Errors as OpenDatagram().
[[nodiscard]] Result<Frame>
OpenFrame(const KeyRing& aKeys, const FrameContext& aContext, std::string_view aBytes);

/// Bytes of the length before a frame, lowest first.
inline constexpr std::size_t kFrameLengthBytes = 4;

[[nodiscard]] std::string
WriteFrameLength(std::size_t aLength);

/// Length announced before a frame. The bytes must be there.
[[nodiscard]] std::uint32_t
ReadFrameLength(std::string_view aBytes);

} // namespace lagoonward
