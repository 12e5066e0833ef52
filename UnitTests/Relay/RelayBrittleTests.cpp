#include "UnitTests/Relay/RelayFixture.h"

#include <algorithm>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr int kPlaces = 2;

/// An endpoint that says that it is brittle, and counts the requests that it has at the same time.
class BrittleServer
{
public:
  [[nodiscard]] std::uint16_t Port() const { return this->server.Port(); }
  [[nodiscard]] const ScriptedServer& Server() const { return this->server; }

  /// Most requests at the same time since the last call.
  [[nodiscard]] int TakeHighest() { return this->highest.exchange(0); }

private:
  static constexpr Milliseconds kWork{ 60 };

  Script Answer()
  {
    const int now = ++this->running;
    int known = this->highest;
    while (known < now && !this->highest.compare_exchange_weak(known, now)) {
    }
    std::this_thread::sleep_for(kWork);
    --this->running;
    return Send(MakeResponse("hi", "200 OK", "Id: r1\r\nMark: m\r\nBrittle: 1\r\n"));
  }

  std::atomic<int> running{ 0 };
  std::atomic<int> highest{ 0 };
  ScriptedServer server{ [this](const std::string&) { return this->Answer(); } };
};

/// Publishes that each endpoint has `kPlaces` places.
void
SetPlaces(RelayFixture& aRelay)
{
  auto snapshot = std::make_shared<FleetSnapshot>(*aRelay.fleet.Get());
  for (Endpoint& endpoint : snapshot->endpoints) {
    endpoint.sequences = kPlaces;
  }
  aRelay.fleet.Publish(snapshot);
  aRelay.market.ApplyFleet(*snapshot);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayBrittleTests)

/// Guards against requests that brittle endpoints have to reject: they crashed under them, and what they had then
/// made their neighbours crash.
BOOST_AUTO_TEST_CASE(BrittleEndpointsAreSentNoMoreThanTheyHavePlaces)
{
  BrittleServer first;
  BrittleServer second;
  RelayFixture relay({ &first.Server(), &second.Server() });
  SetPlaces(relay);
  // The first answer says that the service is brittle
  BOOST_TEST(relay.SendRequest(RelayKind::Idempotent).reply.has_value());
  static_cast<void>(first.TakeHighest());
  static_cast<void>(second.TakeHighest());

  std::vector<TestCaller> callers(16);
  for (TestCaller& caller : callers) {
    relay.Submit(caller, RelayKind::Idempotent, false, Seconds(5));
  }
  const auto served = std::count_if(callers.begin(), callers.end(), [](TestCaller& aCaller) {
    return aCaller.Wait().reply.has_value();
  });
  BOOST_TEST(first.TakeHighest() <= kPlaces);
  BOOST_TEST(second.TakeHighest() <= kPlaces);
  // All of them fit in four rounds of the places, within half of the target for the first event
  BOOST_TEST(served == 16);
}

BOOST_AUTO_TEST_SUITE_END()
