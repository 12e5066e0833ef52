#include "Lagoonward/Membership/DeltaCodec.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

constexpr std::size_t kMaximumBytes = 1U << 20U;

std::string
MakeText(int aLines)
{
  std::string text;
  for (int line = 0; line < aLines; ++line) {
    text += "line " + std::to_string(line * 7919) + " of a text\n";
  }
  return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DeltaCodecTests)

BOOST_AUTO_TEST_CASE(DeltaFollowsTheChangeNotTheText)
{
  const std::string base = MakeText(10'000);
  std::string text = base;
  text.insert(text.size() / 2, "an inserted line\n");
  const std::string delta = EncodeDelta(base, text);
  BOOST_TEST(delta.size() < 500U);
  BOOST_TEST((DecodeDelta(base, delta, kMaximumBytes) == text));
}

BOOST_AUTO_TEST_CASE(TextWithoutABaseIsCompressed)
{
  const std::string text = MakeText(1'000);
  const std::string delta = EncodeDelta({}, text);
  BOOST_TEST(delta.size() < text.size() / 2);
  BOOST_TEST((DecodeDelta({}, delta, kMaximumBytes) == text));
  BOOST_TEST((DecodeDelta({}, EncodeDelta({}, {}), kMaximumBytes) == std::string()));
}

// Guards against a receiver that takes a difference to another content for its state
BOOST_AUTO_TEST_CASE(DeltaOfAnotherBaseTruncatedOrTooLongIsRefused)
{
  const std::string base = MakeText(1'000);
  const std::string text = base + "one line more\n";
  const std::string delta = EncodeDelta(base, text);
  BOOST_TEST(!DecodeDelta(MakeText(999), delta, kMaximumBytes).has_value());
  BOOST_TEST(!DecodeDelta({}, delta, kMaximumBytes).has_value());
  BOOST_TEST(
    !DecodeDelta(base, std::string_view(delta).substr(0, delta.size() - 1), kMaximumBytes));
  BOOST_TEST(!DecodeDelta(base, delta, text.size() - 1).has_value());
  BOOST_TEST(!DecodeDelta(base, "no delta", kMaximumBytes).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
