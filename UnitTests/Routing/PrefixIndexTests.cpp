#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Routing/PrefixIndex.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace lagoonward;

namespace {

std::vector<std::uint64_t>
MakeBlocks(std::size_t aCount, std::uint64_t aFirst)
{
  std::vector<std::uint64_t> blocks;
  for (std::size_t index = 0; index < aCount; ++index) {
    blocks.push_back((aFirst + index) * 0x9e3779b97f4a7c15ULL);
  }
  return blocks;
}

struct Fixture
{
  VirtualClock clock;
  PrefixIndexSettings settings;
  PrefixIndex index{ settings, clock };
  std::vector<std::uint64_t> blocks = MakeBlocks(100, 1);

  [[nodiscard]] std::map<std::uint32_t, double> Find() const
  {
    std::array<PrefixHolder, 8> holders;
    const std::size_t count = this->index.Find(this->blocks, holders).holderCount;
    std::map<std::uint32_t, double> found;
    for (std::size_t each = 0; each < count; ++each) {
      found[holders[each].tag] = holders[each].tokens;
    }
    return found;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PrefixIndexTests, Fixture)

/// Guards against memory that grows with the endpoints ever seen: an entry per endpoint stayed for good.
BOOST_AUTO_TEST_CASE(EndpointsThatWereResetLongAgoAreForgotten)
{
  constexpr std::uint64_t kEndpoints = 100;
  for (std::uint64_t key = 0; key < kEndpoints; ++key) {
    this->index.OnGap(2 * key + 1);
    this->index.OnReset(2 * key + 1);
    this->index.OnGap(2 * (key + kEndpoints) + 1);
    this->clock.Advance(this->settings.maxAge / 10);
  }
  // Those of the last ten steps, and of the step before
  BOOST_TEST(this->index.RememberedEndpoints() <= 2 * 12U);
}

BOOST_AUTO_TEST_CASE(FindReturnsCachedPrefixLengthPerEndpoint)
{
  const std::span all(this->blocks);
  this->index.OnStored(11, all.first(80));
  this->index.OnDispatched(21, all.first(40));
  const auto found = this->Find();
  BOOST_TEST(found.size() == 2U);
  BOOST_TEST(found.at(11) == 80 * 64);
  BOOST_TEST(found.at(21) <= 40 * 64);
  BOOST_TEST(found.at(21) >= 30 * 64 * this->settings.dispatchedConfidence);
}

BOOST_AUTO_TEST_CASE(EvictedResetAndExpiredEntriesAreNotFound)
{
  this->index.OnStored(11, this->blocks);
  this->index.OnEvicted(11, this->blocks);
  BOOST_TEST(this->Find().empty());
  this->index.OnStored(11, this->blocks);
  this->index.OnReset(11);
  BOOST_TEST(this->Find().empty());
  this->index.OnStored(21, this->blocks);
  this->clock.Advance(this->settings.maxAge + Seconds(1));
  BOOST_TEST(this->Find().empty());
}

BOOST_AUTO_TEST_CASE(EventGapReducesConfidenceInOlderEntries)
{
  this->index.OnStored(11, this->blocks);
  this->clock.Advance(Seconds(1));
  this->index.OnGap(11);
  BOOST_TEST(this->Find().at(11) == 6400 * this->settings.gapConfidence);
  this->index.OnStored(11, this->blocks);
  BOOST_TEST(this->Find().at(11) == 6400);
}

BOOST_AUTO_TEST_CASE(OldestBlocksAreEvictedAtCapacity)
{
  this->settings.capacity = 64;
  PrefixIndex small(this->settings, this->clock);
  for (std::uint64_t prompt = 0; prompt < 100; ++prompt) {
    small.OnDispatched(11, MakeBlocks(16, 1000 * prompt));
    this->clock.Advance(Seconds(1));
  }
  std::array<PrefixHolder, 8> holders;
  BOOST_TEST(small.Find(MakeBlocks(16, 0), holders).holderCount == 0U);
  BOOST_TEST(small.Find(MakeBlocks(16, 99000), holders).holderCount == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
