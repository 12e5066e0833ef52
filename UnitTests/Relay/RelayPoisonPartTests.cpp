#include "UnitTests/Relay/RelayFixture.h"

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr std::uint64_t kTemplate = 1; ///< Shared by all requests.
constexpr std::uint64_t kDeadly = 2;   ///< Crashes each endpoint that begins to answer.
constexpr int kEndpoints = 12;

/// Endpoints that crash when a request's body says so.
struct Fixture
{
  Fixture()
  {
    std::vector<const ScriptedServer*> all;
    for (int index = 0; index < kEndpoints; ++index) {
      this->servers.push_back(std::make_unique<ScriptedServer>([](const std::string& aRequest) {
        return aRequest.find("deadly") != std::string::npos
                 ? Script{ { Kind::ResetAndStopListening } }
                 : Send(MakeResponse("hi"));
      }));
      all.push_back(this->servers.back().get());
    }
    this->relay = std::make_unique<RelayFixture>(all);
  }

  /// Sends a request whose last part and body are its own.
  Received SendParts(const std::vector<std::uint64_t>& aShared, bool aIsDeadly)
  {
    const std::uint64_t number = ++this->sent;
    this->relay->promptParts.clear();
    for (const std::uint64_t part : aShared) {
      this->relay->promptParts.push_back({ part, 100 });
    }
    this->relay->promptParts.push_back({ 1000 + number, 100 });
    return this->relay->SendRequestWithBody(
      fmt::format("{} {}", aIsDeadly ? "deadly" : "sound", number), RelayKind::NonIdempotent);
  }

  /// Requests that crashed an endpoint.
  [[nodiscard]] int Crashes() const
  {
    int crashes = 0;
    for (const auto& server : this->servers) {
      for (const std::string& request : server->Requests()) {
        crashes += request.find("deadly") != std::string::npos ? 1 : 0;
      }
    }
    return crashes;
  }

  std::vector<std::unique_ptr<ScriptedServer>> servers;
  std::unique_ptr<RelayFixture> relay;
  std::uint64_t sent = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayPoisonPartTests, Fixture)

/// Guards against requests that are not alike but share a part of their prompts which crashes each endpoint: each of them
/// crashed one.
BOOST_AUTO_TEST_CASE(RequestsWithAPartThatCrashedFiveEndpointsAreNotSent)
{
  for (int time = 0; time < kEndpoints - 2; ++time) {
    BOOST_TEST(this->SendParts({ kTemplate, 3 }, false).reply.has_value());
    BOOST_TEST(this->SendParts({ kTemplate, kDeadly }, true).error.has_value());
  }
  BOOST_TEST(this->Crashes() <= 5);
  // The parts that it shares with others are not blamed
  BOOST_TEST(this->SendParts({ kTemplate, 3 }, false).reply.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
