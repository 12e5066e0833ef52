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

BOOST_AUTO_TEST_CASE(FewEarlierVersionsAreRetainedByContent)
{
  SharedStates states;
  std::vector<StateVersion> versions;
  const std::uint64_t topic = SharedState{ "a", 0, "" }.Topic();
  for (int version = 1; version <= 6; ++version) {
    std::ignore = states.Publish({ "a", version, "content " + std::to_string(version) });
    versions.push_back(states.VersionOf(topic));
  }
  BOOST_TEST(*states.FindBytes(topic, versions[5]) == "content 6");
  BOOST_TEST(*states.FindBytes(topic, versions[2]) == "content 3");
  BOOST_TEST((states.FindBytes(topic, versions[1]) == nullptr));
  // Another content under the same version number
  BOOST_TEST((states.FindBytes(topic, { 6, versions[5].digest + 1 }) == nullptr));
  BOOST_TEST((states.FindBytes(topic, {}) == nullptr));
  BOOST_TEST(states.VersionOf(topic + 1).IsEmpty());
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
