#include "Lagoonward/Membership/FrameCodec.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

constexpr std::string_view kOldKey =
  "1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
constexpr std::string_view kNewKey =
  "2:f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff101112131415161718191a1b1c1d1e1f";
constexpr PeerKey kReceiver = 77;

KeyRing
MakeRing(std::string_view aText = kOldKey, std::string aCluster = "test")
{
  return KeyRing::Parse(aText, std::move(aCluster)).value();
}

Datagram
MakeDatagram()
{
  Datagram datagram;
  datagram.kind = DatagramKind::IndirectPing;
  datagram.nonce = 5;
  datagram.subject = 6;
  datagram.incarnation = 7;
  datagram.state = PeerState::Leaving;
  datagram.digest = 8;
  datagram.peers = { { 9, PeerState::Suspect, 10, std::nullopt },
                     { 11, PeerState::Alive, 12,
                       PeerInfo{ "daemon-1", "127.0.0.1", 4000, "bergen-a", "vestland" } } };
  datagram.states = { { 13, EndpointState::Leaving, 14, 15 } };
  datagram.loads = { { 16, 17, 18, 19, 20, 21, 22 } };
  datagram.versions = { { 23, 24 } };
  return datagram;
}

std::string
Seal(const KeyRing& aKeys)
{
  DatagramHeader header;
  header.sender = 1;
  header.session = 2;
  header.sequence = 3;
  header.sentAt = 4;
  return SealDatagram(aKeys, kReceiver, header, MakeDatagram());
}

} // namespace

BOOST_AUTO_TEST_SUITE(FrameCodecTests)

BOOST_AUTO_TEST_CASE(DatagramRoundTripPreservesAllFields)
{
  const KeyRing keys = MakeRing();
  const auto opened = OpenDatagram(keys, kReceiver, Seal(keys));
  BOOST_TEST_REQUIRE(opened.has_value());
  BOOST_TEST(opened.value().header.sequence == 3U);
  BOOST_TEST(EncodeMessage(opened.value().body) == EncodeMessage(MakeDatagram()));
  BOOST_TEST(opened.value().body.peers.at(1).info->failureDomain == "bergen-a");
}

BOOST_AUTO_TEST_CASE(EncodedSizesEqualTheSizeConstants)
{
  const KeyRing keys = MakeRing();
  Datagram datagram;
  BOOST_TEST(SealDatagram(keys, kReceiver, {}, datagram).size() == kDatagramOverhead);
  datagram.loads.resize(1);
  BOOST_TEST(SealDatagram(keys, kReceiver, {}, datagram).size() ==
             kDatagramOverhead + kEndpointLoadUpdateBytes);
  datagram.loads.clear();
  datagram.states.resize(1);
  BOOST_TEST(SealDatagram(keys, kReceiver, {}, datagram).size() ==
             kDatagramOverhead + kEndpointStateUpdateBytes);
  datagram.states.clear();
  datagram.versions.resize(1);
  BOOST_TEST(SealDatagram(keys, kReceiver, {}, datagram).size() ==
             kDatagramOverhead + kVersionAnnouncementBytes);
}

BOOST_AUTO_TEST_CASE(AnyChangedByteIsRejected)
{
  const KeyRing keys = MakeRing();
  const std::string bytes = Seal(keys);
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    std::string changed = bytes;
    changed[index] = static_cast<char>(changed[index] ^ 1);
    BOOST_TEST(!OpenDatagram(keys, kReceiver, changed).has_value());
  }
}

BOOST_AUTO_TEST_CASE(AnyTruncationOrExtensionIsRejected)
{
  const KeyRing keys = MakeRing();
  const std::string bytes = Seal(keys);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    BOOST_TEST(!OpenDatagram(keys, kReceiver, bytes.substr(0, size)).has_value());
  }
  BOOST_TEST(!OpenDatagram(keys, kReceiver, bytes + "x").has_value());
}

BOOST_AUTO_TEST_CASE(DatagramForAnotherDaemonIsRejected)
{
  const KeyRing keys = MakeRing();
  const auto opened = OpenDatagram(keys, kReceiver + 1, Seal(keys));
  BOOST_TEST_REQUIRE(!opened.has_value());
  BOOST_TEST((opened.error().kind == ErrorKind::Unauthorized));
}

BOOST_AUTO_TEST_CASE(AnotherClusterIsDistinguishedFromAWrongKey)
{
  const std::string bytes = Seal(MakeRing(kOldKey, "other"));
  const auto opened = OpenDatagram(MakeRing(), kReceiver, bytes);
  BOOST_TEST_REQUIRE(!opened.has_value());
  BOOST_TEST(opened.error().message == "from another cluster");
}

BOOST_AUTO_TEST_CASE(AdjacentKeyRolloverStepsAcceptEachOther)
{
  const std::string both = std::string(kOldKey) + "," + std::string(kNewKey);
  const std::string swapped = std::string(kNewKey) + "," + std::string(kOldKey);
  const std::vector<KeyRing> steps{ MakeRing(kOldKey), MakeRing(both), MakeRing(swapped),
                                    MakeRing(kNewKey) };
  for (std::size_t step = 0; step + 1 < steps.size(); ++step) {
    BOOST_TEST(OpenDatagram(steps[step], kReceiver, Seal(steps[step + 1])).has_value());
    BOOST_TEST(OpenDatagram(steps[step + 1], kReceiver, Seal(steps[step])).has_value());
  }
  BOOST_TEST(!OpenDatagram(steps.front(), kReceiver, Seal(steps.back())).has_value());
}

BOOST_AUTO_TEST_CASE(KeyRingRejectsMalformedText)
{
  for (const std::string_view text :
       { "", "1", "x:00", "1:00",
         "256:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
         "1:zz0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f" }) {
    BOOST_TEST(!KeyRing::Parse(text, "test").has_value());
  }
  const std::string duplicate = std::string(kOldKey) + "," + std::string(kOldKey);
  BOOST_TEST(!KeyRing::Parse(duplicate, "test").has_value());
}

BOOST_AUTO_TEST_CASE(FrameIsBoundToConnectionDirectionAndNumber)
{
  const KeyRing keys = MakeRing();
  const Frame frame{ FrameKind::Request, 1, 2, 3, "bytes" };
  const FrameContext context{ "nonce-of-16-byte", true, 4 };
  const std::string bytes = SealFrame(keys, context, frame);
  BOOST_TEST_REQUIRE(OpenFrame(keys, context, bytes).has_value());
  BOOST_TEST(OpenFrame(keys, context, bytes).value().bytes == "bytes");
  BOOST_TEST(!OpenFrame(keys, { "other-nonce-of-1", true, 4 }, bytes).has_value());
  BOOST_TEST(!OpenFrame(keys, { "nonce-of-16-byte", false, 4 }, bytes).has_value());
  BOOST_TEST(!OpenFrame(keys, { "nonce-of-16-byte", true, 5 }, bytes).has_value());
}

BOOST_AUTO_TEST_CASE(ListWithAFalseCountIsRejected)
{
  // A list whose count is 65,535 but that has no entries
  std::string bytes = EncodeMessage(StateExchange());
  bytes[1] = '\xff';
  bytes[2] = '\xff';
  BOOST_TEST(!DecodeMessage<StateExchange>(bytes).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
