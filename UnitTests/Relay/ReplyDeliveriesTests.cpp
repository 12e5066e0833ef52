#include "Lagoonward/Relay/ReplyDeliveries.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace lagoonward;

namespace {

constexpr std::size_t kMaximum = 1000;

/// What a caller has not read of its response.
struct Unread
{
  std::size_t bytes = 0;
  bool isDiscarded = false;
};

class Caller final : public RelayCaller
{
public:
  explicit Caller(Unread& aUnread)
    : unread(aUnread)
  {
  }

  void SendResponse(RelayReply) override {}
  void SendError(const Error&) override {}
  void BeginStream(const RelayReply&) override {}
  void WriteEvent(std::string_view) override {}
  void EndStream() override {}
  void AbortStream() override {}
  [[nodiscard]] bool IsDisconnected() override { return false; }
  [[nodiscard]] std::size_t HeldBytes() override { return this->unread.bytes; }
  void Discard() override
  {
    this->unread.bytes = 0;
    this->unread.isDiscarded = true;
  }

private:
  Unread& unread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReplyDeliveriesTests)

BOOST_AUTO_TEST_CASE(ResponseIsAccountedForUntilItsCallerHasReadIt)
{
  ResponseMemory memory(kMaximum);
  ReplyDeliveries deliveries(memory);
  Unread unread{ 400 };
  deliveries.Add(std::make_unique<Caller>(unread));
  BOOST_TEST(memory.Held() == 400U);
  unread.bytes = 100;
  deliveries.Update();
  BOOST_TEST(memory.Held() == 100U);
  unread.bytes = 0;
  deliveries.Update();
  BOOST_TEST(memory.Held() == 0U);
  BOOST_TEST(!unread.isDiscarded);
}

BOOST_AUTO_TEST_CASE(LargestResponseIsDiscardedBeyondTheMaximum)
{
  ResponseMemory memory(kMaximum);
  ReplyDeliveries deliveries(memory);
  std::deque<Unread> unread{ { 400 }, { 500 }, { 200 } };
  for (Unread& each : unread) {
    deliveries.Add(std::make_unique<Caller>(each));
  }
  BOOST_TEST(unread[1].isDiscarded);
  BOOST_TEST(memory.Held() == 600U);
  // One that does not fit by itself is discarded at once
  Unread large{ kMaximum + 1 };
  deliveries.Add(std::make_unique<Caller>(large));
  BOOST_TEST(large.isDiscarded);
  BOOST_TEST(memory.Held() == 600U);
}

/// Guards against responses that are stopped although those that fill the memory have been read in the meantime.
BOOST_AUTO_TEST_CASE(ResponsesThatWereReadCostNoOtherItsMemory)
{
  ResponseMemory memory(kMaximum);
  ReplyDeliveries deliveries(memory);
  int evictions = 0;
  ResponseMemory::Account unfinished(memory, "endpoint", [&] { ++evictions; });
  BOOST_TEST(unfinished.Set(450));
  std::deque<Unread> unread(5);
  for (Unread& each : unread) {
    each.bytes = 400;
    deliveries.Add(std::make_unique<Caller>(each));
    each.bytes = 0;
  }
  BOOST_TEST(evictions == 0);
  for (const Unread& each : unread) {
    BOOST_TEST(!each.isDiscarded);
  }
}

BOOST_AUTO_TEST_SUITE_END()
