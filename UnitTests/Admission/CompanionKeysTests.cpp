#include "Lagoonward/Admission/CompanionKeys.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace lagoonward;

namespace {

CompanionKeys
Of(const std::vector<std::uint64_t>& aKeys)
{
  CompanionKeys keys;
  for (const std::uint64_t key : aKeys) {
    keys.Add(key);
  }
  return keys;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CompanionKeysTests)

BOOST_AUTO_TEST_CASE(IntersectionKeepsWhatBothHave)
{
  CompanionKeys keys = Of({ 1, 2, 3 });
  keys.IntersectWith(Of({ 3, 1, 4 }));
  BOOST_TEST(keys.AreWithin(std::vector<std::uint64_t>{ 1, 3 }));
  BOOST_TEST(!keys.AreWithin(std::vector<std::uint64_t>{ 1, 2 }));
  keys.IntersectWith({});
  BOOST_TEST(keys.AreWithin({}));
}

BOOST_AUTO_TEST_CASE(KeysBeyondTheCapacityAreDropped)
{
  CompanionKeys keys;
  for (std::uint64_t key = 0; key < 20; ++key) {
    keys.Add(key);
    keys.Add(key);
  }
  BOOST_TEST(keys.Keys().size() == CompanionKeys::kCapacity);
}

BOOST_AUTO_TEST_SUITE_END()
