#include "Lagoonward/Daemon/LoadMessages.h"
#include "Lagoonward/Membership/WireCodec.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

/// A message of a list, a name and a map, each with the shortest length field.
struct Sample
{
  std::vector<std::uint8_t> list;
  std::string name;
  std::map<std::string, std::uint8_t> map;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    SerializeList<std::uint8_t>(aArchive, this->list);
    SerializeBytes<std::uint8_t>(aArchive, this->name);
    SerializeMap<std::uint8_t>(aArchive, this->map, [&](std::string& aKey, std::uint8_t& aValue) {
      SerializeBytes<std::uint8_t>(aArchive, aKey);
      aArchive(aValue);
    });
  }
};

Sample
MakeSample(std::size_t aLength)
{
  Sample sample{ std::vector<std::uint8_t>(aLength, 7), std::string(aLength, 'n'), {} };
  for (std::size_t index = 0; index < aLength; ++index) {
    sample.map[std::to_string(index)] = 1;
  }
  return sample;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WireCodecTests)

// Guards against daemons that end with an exception: names and lists from outside were too long for their length field.
BOOST_AUTO_TEST_CASE(AnyLengthIsEncoded)
{
  for (const std::size_t length : { 0U, 1U, 254U, 255U, 256U, 300U, 70'000U }) {
    const Sample sample = MakeSample(length);
    const auto read = DecodeMessage<Sample>(EncodeMessage(sample));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST((read.value().list == sample.list));
    BOOST_TEST((read.value().name == sample.name));
    BOOST_TEST((read.value().map == sample.map));
  }
}

BOOST_AUTO_TEST_CASE(ShortLengthsTakeOneByte)
{
  const std::size_t empty = EncodeMessage(MakeSample(0)).size();
  Sample sample;
  sample.name = std::string(254, 'n');
  BOOST_TEST(EncodeMessage(sample).size() == empty + 254);
  sample.name += 'n';
  BOOST_TEST(EncodeMessage(sample).size() == empty + 4 + 255);
}

BOOST_AUTO_TEST_CASE(FalseLengthsAreRejected)
{
  const std::string bytes = EncodeMessage(MakeSample(300));
  BOOST_TEST(DecodeMessage<Sample>(bytes).has_value());
  for (std::size_t length = 0; length < bytes.size(); length += 7) {
    BOOST_TEST(!DecodeMessage<Sample>(std::string_view(bytes).substr(0, length)).has_value());
  }
  // A long field that holds a short length
  std::string other = EncodeMessage(MakeSample(0));
  other.replace(1, 1, std::string("\xff\x01\x00\x00\x00\x07", 6));
  BOOST_TEST(!DecodeMessage<Sample>(other).has_value());
  // A string longer than any message
  other = EncodeMessage(MakeSample(0));
  other.replace(2, 1, std::string("\xff\xff\xff\xff\x7f", 5));
  BOOST_TEST(!DecodeMessage<Sample>(other).has_value());
}

// Guards against a sound configuration that ends all daemons: their load reports name its client accounts and services.
BOOST_AUTO_TEST_CASE(LoadReportsNameAccountsAndServicesOfAnyLengthAndNumber)
{
  MemberReport report;
  report.usage[7][std::string(300, 'a')] = 5;
  for (int index = 0; index < 300; ++index) {
    report.work[std::string(300, 's') + std::to_string(index)] = {};
    report.speeds.emplace_back().machineClass = std::string(300, 'm');
  }
  report.leader.id = std::string(300, 'd');
  const auto read = DecodeMessage<MemberReport>(EncodeMessage(report));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().usage.at(7).at(std::string(300, 'a')) == 5);
  BOOST_TEST(read.value().work.size() == 300U);
  BOOST_TEST(read.value().speeds.size() == 300U);
  BOOST_TEST(read.value().leader.id == report.leader.id);
}

BOOST_AUTO_TEST_SUITE_END()
