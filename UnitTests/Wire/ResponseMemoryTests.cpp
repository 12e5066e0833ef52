#include "Lagoonward/Core/StringMemory.h"
#include "Lagoonward/Wire/ResponseMemory.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace lagoonward;

namespace {

constexpr std::size_t kMaximum = 1000;

/// One response that records whether it was evicted.
struct Response
{
  Response(ResponseMemory& aMemory, const std::string& aSource)
    : account(aMemory, aSource, [this] { ++this->evictions; })
  {
  }

  int evictions = 0;
  ResponseMemory::Account account;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ResponseMemoryTests)

BOOST_AUTO_TEST_CASE(NothingIsEvictedUpToTheMaximum)
{
  ResponseMemory memory(kMaximum);
  Response first(memory, "a");
  Response second(memory, "b");
  BOOST_TEST(first.account.Set(600));
  BOOST_TEST(second.account.Set(400));
  BOOST_TEST(memory.Held() == kMaximum);
  BOOST_TEST(first.account.Set(100));
  BOOST_TEST(memory.Held() == 500U);
  BOOST_TEST(first.evictions + second.evictions == 0);
}

BOOST_AUTO_TEST_CASE(MemoryIsFreedWhenAResponseEnds)
{
  ResponseMemory memory(kMaximum);
  Response stays(memory, "a");
  BOOST_TEST(stays.account.Set(100));
  {
    Response ends(memory, "a");
    BOOST_TEST(ends.account.Set(900));
    Response other(memory, "b");
  }
  BOOST_TEST(memory.Held() == 100U);
  BOOST_TEST(stays.account.Set(kMaximum));
}

/// Guards against a sound response that is stopped because others took all memory before it.
BOOST_AUTO_TEST_CASE(LargestResponseOfTheLargestSourceIsEvictedFirst)
{
  ResponseMemory memory(kMaximum);
  Response sound(memory, "sound");
  BOOST_TEST(sound.account.Set(400));
  std::deque<Response> faulty;
  for (const std::size_t bytes : { 150U, 250U, 200U }) {
    BOOST_TEST(faulty.emplace_back(memory, "faulty").account.Set(bytes));
  }
  Response arrives(memory, "new");
  BOOST_TEST(arrives.account.Set(100));
  BOOST_TEST(faulty[0].evictions == 0);
  BOOST_TEST(faulty[1].evictions == 1);
  BOOST_TEST(faulty[2].evictions == 0);
  BOOST_TEST(sound.evictions + arrives.evictions == 0);
  BOOST_TEST(memory.Held() == 850U);
}

BOOST_AUTO_TEST_CASE(ResponsesWithoutASourceCountEachByItself)
{
  ResponseMemory memory(kMaximum);
  Response first(memory, {});
  Response second(memory, {});
  std::deque<Response> faulty;
  BOOST_TEST(first.account.Set(300));
  BOOST_TEST(second.account.Set(300));
  BOOST_TEST(faulty.emplace_back(memory, "faulty").account.Set(200));
  BOOST_TEST(faulty.emplace_back(memory, "faulty").account.Set(200));
  BOOST_TEST(second.account.Set(301));
  BOOST_TEST(first.evictions + second.evictions == 0);
  BOOST_TEST(faulty[0].evictions + faulty[1].evictions == 1);
}

BOOST_AUTO_TEST_CASE(AsManyAreEvictedAsNeeded)
{
  ResponseMemory memory(kMaximum);
  std::deque<Response> responses;
  for (int number = 0; number < 10; ++number) {
    BOOST_TEST(responses.emplace_back(memory, "a").account.Set(100));
  }
  Response large(memory, "b");
  BOOST_TEST(large.account.Set(450));
  int evictions = 0;
  for (const Response& each : responses) {
    evictions += each.evictions;
  }
  BOOST_TEST(evictions == 5);
  BOOST_TEST(memory.Held() == 950U);
}

BOOST_AUTO_TEST_CASE(EvictedResponseOccupiesNothingAndIsNotifiedOnce)
{
  ResponseMemory memory(kMaximum);
  Response only(memory, "a");
  BOOST_TEST(!only.account.Set(kMaximum + 1));
  BOOST_TEST(!only.account.Set(10));
  std::string buffer;
  BOOST_TEST(!only.account.Append(buffer, "x"));
  BOOST_TEST(buffer.empty());
  BOOST_TEST(memory.Held() == 0U);
  BOOST_TEST(only.evictions == 1);
}

/// Guards against a buffer that has more memory than is accounted for, as it grows by more than the bytes that arrive.
BOOST_AUTO_TEST_CASE(AppendAccountsForAllMemoryOfTheBuffer)
{
  ResponseMemory memory(std::size_t{ 1 } << 30U);
  Response response(memory, "a");
  std::string buffer;
  for (int number = 0; number < 1000; ++number) {
    BOOST_TEST_REQUIRE(response.account.Append(buffer, std::string(777, 'x')));
    BOOST_TEST_REQUIRE(memory.Held() == HeapBytes(buffer));
  }
  BOOST_TEST(buffer.size() == 777'000U);
}

BOOST_AUTO_TEST_SUITE_END()
