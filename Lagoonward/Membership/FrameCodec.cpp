#include "Lagoonward/Membership/FrameCodec.h"

namespace lagoonward {

namespace {

void
AppendNumber(std::string& aTarget, std::uint64_t aNumber)
{
  for (unsigned shift = 0; shift < 64; shift += 8) {
    aTarget.push_back(static_cast<char>((aNumber >> shift) & 0xffU));
  }
}

std::string
DatagramContext(PeerKey aReceiver)
{
  std::string context = "datagram";
  AppendNumber(context, aReceiver);
  return context;
}

std::string
ToContextBytes(const FrameContext& aContext)
{
  std::string context = aContext.fromConnecting ? "frame>" : "frame<";
  AppendNumber(context, aContext.number);
  context += aContext.nonce;
  return context;
}

void
AppendTag(std::string& aBytes, const MessageTag& aTag)
{
  aBytes.append(reinterpret_cast<const char*>(aTag.data()), aTag.size());
}

/// Header before the body of a frame.
struct FrameHeader
{
  std::uint16_t version = kProtocolVersion;
  std::uint8_t keyId = 0;
  std::uint32_t cluster = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->version, this->keyId, this->cluster);
  }
};

/// Checks the header and the tag before it decodes the body.
template<typename Header, typename Body>
Result<void>
Open(const KeyRing& aKeys, std::string_view aContext, std::string_view aBytes, Header& aHeader,
     Body& aBody)
{
  if (aBytes.size() < sizeof(MessageTag)) {
    return Error(ErrorKind::InvalidRequest, "message is shorter than an authentication tag");
  }
  const std::string_view signedBytes = aBytes.substr(0, aBytes.size() - sizeof(MessageTag));
  const std::string_view tag = aBytes.substr(signedBytes.size());
  try {
    ReadBuffer buffer(signedBytes);
    std::istream stream(&buffer);
    cereal::PortableBinaryInputArchive archive(stream);
    archive(aHeader);
    if (aHeader.version != kProtocolVersion) {
      return Error(ErrorKind::InvalidRequest, "unsupported protocol version");
    }
    if (aHeader.cluster != aKeys.ClusterHash()) {
      return Error(ErrorKind::InvalidRequest, "from another cluster");
    }
    if (!aKeys.Verify(aHeader.keyId, aContext, signedBytes, tag)) {
      return Error(ErrorKind::Unauthorized, "authentication tag does not match");
    }
    archive(aBody);
    if (buffer.Remaining() != 0) {
      return Error(ErrorKind::InvalidRequest, "unexpected bytes after the message body");
    }
  } catch (const std::exception& exception) {
    return Error(ErrorKind::InvalidRequest, exception.what());
  }
  return boost::outcome_v2::success();
}

template<typename Header, typename Body>
std::string
Seal(const KeyRing& aKeys, std::string_view aContext, Header aHeader, const Body& aBody)
{
  aHeader.version = kProtocolVersion;
  aHeader.keyId = aKeys.SigningKey();
  aHeader.cluster = aKeys.ClusterHash();
  std::string bytes;
  WriteBuffer buffer(bytes);
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(aHeader, aBody);
  AppendTag(bytes, aKeys.Sign(aContext, bytes));
  return bytes;
}

} // namespace

std::string
SealDatagram(const KeyRing& aKeys, PeerKey aReceiver, DatagramHeader aHeader,
             const Datagram& aDatagram)
{
  return Seal(aKeys, DatagramContext(aReceiver), aHeader, aDatagram);
}

Result<OpenedDatagram>
OpenDatagram(const KeyRing& aKeys, PeerKey aReceiver, std::string_view aBytes)
{
  OpenedDatagram opened;
  auto result = Open(aKeys, DatagramContext(aReceiver), aBytes, opened.header, opened.body);
  if (!result) {
    return result.error();
  }
  return opened;
}

std::string
SealFrame(const KeyRing& aKeys, const FrameContext& aContext, const Frame& aFrame)
{
  return Seal(aKeys, ToContextBytes(aContext), FrameHeader(), aFrame);
}

Result<Frame>
OpenFrame(const KeyRing& aKeys, const FrameContext& aContext, std::string_view aBytes)
{
  FrameHeader header;
  Frame frame;
  auto result = Open(aKeys, ToContextBytes(aContext), aBytes, header, frame);
  if (!result) {
    return result.error();
  }
  return frame;
}

std::uint32_t
ReadFrameLength(std::string_view aBytes)
{
  std::uint32_t length = 0;
  for (unsigned index = 0; index < kFrameLengthBytes; ++index) {
    length |= std::uint32_t{ static_cast<unsigned char>(aBytes[index]) } << (8 * index);
  }
  return length;
}

std::string
WriteFrameLength(std::size_t aLength)
{
  std::string bytes;
  for (unsigned index = 0; index < kFrameLengthBytes; ++index) {
    bytes.push_back(static_cast<char>((aLength >> (8 * index)) & 0xffU));
  }
  return bytes;
}

} // namespace lagoonward
