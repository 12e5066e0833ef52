#include "UnitTests/Relay/RelayFixture.h"

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

/// Endpoints of one service with two software versions. Each stream breaks off after the event of its first endpoint; any
/// other endpoint completes it.
class MixedFleet
{
public:
  /// @param aBit  bit of an endpoint's index that tells its version, so that any two endpoints differ for one of the bits
  explicit MixedFleet(unsigned aBit)
  {
    for (std::size_t index = 0; index < kEndpoints; ++index) {
      this->servers.push_back(std::make_unique<ScriptedServer>(
        [this, index](const std::string& aRequest) { return this->Respond(index, aRequest); }));
      this->endpoints.push_back(this->servers.back().get());
      this->versions.push_back((index >> aBit) % 2 == 0 ? "v1" : "v2");
    }
  }

  static constexpr std::size_t kEndpoints = 8;
  static constexpr unsigned kBits = 3;

  /// Software versions of the endpoints that received the request, in order.
  [[nodiscard]] std::vector<std::string> ReceivedAt()
  {
    const std::lock_guard lock(this->mutex);
    return this->receivedAt;
  }

  std::vector<std::unique_ptr<ScriptedServer>> servers;
  std::vector<const ScriptedServer*> endpoints;
  std::vector<std::string> versions;

private:
  Script Respond(std::size_t aIndex, const std::string& aRequest)
  {
    const std::lock_guard lock(this->mutex);
    this->receivedAt.push_back(this->versions[aIndex]);
    if (aRequest.find("After: 1\r\n") != std::string::npos) {
      return Send(kStreamHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    }
    return { { Kind::Send, kStreamHead + Chunk("id: 1\ndata: a\n\n") },
             { Kind::Wait, {}, Milliseconds(20) },
             { Kind::Reset } };
  }

  std::mutex mutex;
  std::vector<std::string> receivedAt;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayStreamVersionTests)

// Guards against a stream whose endpoint breaks off and that is resumed within the same response at an endpoint of
// another software version
BOOST_AUTO_TEST_CASE(BrokenStreamContinuesAtItsSoftwareVersion, *boost::unit_test::disabled())
{
  constexpr unsigned kStreams = 12;
  int mixed = 0;
  unsigned complete = 0;
  for (unsigned number = 0; number < kStreams; ++number) {
    // New endpoints each time, as the failures of earlier streams would count against them
    MixedFleet fleet(number % MixedFleet::kBits);
    RelayFixture relay(fleet.endpoints);
    relay.SetSoftwareVersions(fleet.versions);
    const Received received = relay.SendRequest(RelayKind::Stream, true);
    const std::vector<std::string> versions = fleet.ReceivedAt();
    BOOST_REQUIRE(!versions.empty());
    mixed += versions.front() != versions.back() ? 1 : 0;
    complete += received.events == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" ? 1 : 0;
  }
  BOOST_TEST(mixed == 0);
  BOOST_TEST(complete == kStreams);
}

BOOST_AUTO_TEST_SUITE_END()
