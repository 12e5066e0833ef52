#include "Lagoonward/Membership/DeltaCodec.h"
#include "Lagoonward/Membership/FrameCodec.h"
#include "Lagoonward/Membership/SoftRecords.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <tuple>

using namespace lagoonward;

namespace {

constexpr std::size_t kMaximumStateBytes = 1U << 20U;

const KeyRing&
Keys()
{
  static const KeyRing keys =
    KeyRing::Parse("1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f", "fuzz")
      .value();
  return keys;
}

/// A decoded message must encode to bytes that decode to the same message.
template<typename Message>
void
CheckRoundTrip(std::string_view aBytes)
{
  const auto decoded = DecodeMessage<Message>(aBytes);
  if (!decoded) {
    return;
  }
  const std::string encoded = EncodeMessage(decoded.value());
  const auto again = DecodeMessage<Message>(encoded);
  if (!again || EncodeMessage(again.value()) != encoded) {
    std::abort();
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);

  // Input without a valid authentication tag must be rejected by the complete decoders
  if (OpenDatagram(Keys(), 1, bytes).has_value() ||
      OpenFrame(Keys(), { "0123456789abcdef", true, 0 }, bytes).has_value()) {
    std::abort();
  }

  // The message decoders, as if the tag had been valid
  CheckRoundTrip<Datagram>(bytes);
  CheckRoundTrip<Frame>(bytes);
  CheckRoundTrip<StateExchange>(bytes);
  CheckRoundTrip<StateRequest>(bytes);
  CheckRoundTrip<StatePiece>(bytes);
  std::ignore = DecodeDelta("a base", bytes, kMaximumStateBytes);
  CheckRoundTrip<EndpointProfile>(bytes);
  CheckRoundTrip<RecordRequest>(bytes);
  return 0;
}
