#include "Lagoonward/Membership/SharedStates.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

BOOST_AUTO_TEST_SUITE(SharedStatesTests)

BOOST_AUTO_TEST_CASE(OnlyNewerVersionsAreStored)
{
  SharedStates states;
  BOOST_TEST(states.Publish({ "config/a", 5, "five" }));
  BOOST_TEST(!states.Adopt({ "config/a", 4, "four" }));
  BOOST_TEST(!states.Adopt({ "config/a", 5, "other" }));
  BOOST_TEST(states.Adopt({ "config/a", 6, "six" }));
  BOOST_TEST(states.Find(SharedState{ "config/a", 0, "" }.Topic())->bytes == "six");
}

BOOST_AUTO_TEST_CASE(RejectedStateIsNeitherStoredNorInTheDigest)
{
  SharedStates states;
  states.SetValidator([](const SharedState& aState) { return aState.bytes != "bad"; });
  const std::uint64_t before = states.Digest(true);
  BOOST_TEST(!states.Adopt({ "config/a", 5, "bad" }));
  BOOST_TEST(states.Digest(true) == before);
  BOOST_TEST(states.IsNewer({ SharedState{ "config/a", 0, "" }.Topic(), 1 }));
}

BOOST_AUTO_TEST_CASE(DigestDependsOnVersionsButNotOnTheirOrder)
{
  SharedStates left;
  SharedStates right;
  std::ignore = left.Publish({ "a", 1, "" });
  std::ignore = left.Publish({ "b", 2, "" });
  std::ignore = right.Publish({ "b", 1, "" });
  std::ignore = right.Publish({ "b", 2, "" });
  BOOST_TEST(left.Digest(true) != right.Digest(true));
  std::ignore = right.Publish({ "a", 1, "" });
  BOOST_TEST(left.Digest(true) == right.Digest(true));
}

BOOST_AUTO_TEST_SUITE_END()
