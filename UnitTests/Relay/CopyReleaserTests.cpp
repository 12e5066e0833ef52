#include "Lagoonward/Relay/CopyReleaser.h"

#include "UnitTests/Relay/RelayFixture.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <set>
#include <thread>

using namespace lagoonward;
using namespace lagoonward::testing;

namespace {

constexpr Milliseconds kPollInterval{ 5 };
constexpr Seconds kLongest{ 10 };

/// Long enough for a call that must not be made to be made nevertheless.
constexpr Milliseconds kQuietTime{ 200 };

std::string
AddressOf(const ScriptedServer& aServer)
{
  return fmt::format("127.0.0.1:{}", aServer.Port());
}

bool
IsMove(const std::string& aRequest)
{
  return aRequest.starts_with("POST /move ");
}

long
CountReleases(const ScriptedServer& aServer)
{
  const std::vector<std::string> requests = aServer.Requests();
  return std::count_if(requests.begin(), requests.end(),
                       [](const std::string& aRequest) { return aRequest.starts_with("DELETE "); });
}

/// Sends nothing for so long that only the other end can end the exchange.
Script
StaySilent()
{
  return { { Kind::Wait, {}, Seconds(20) } };
}

/// Waits until the condition holds; fails the test if it doesn't.
template<typename Condition>
void
Await(Condition aCondition)
{
  const auto limit = std::chrono::steady_clock::now() + kLongest;
  while (!aCondition() && std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(kPollInterval);
  }
  BOOST_TEST(aCondition());
}

/// A releaser with its loop; all its calls are made on the loop.
class ReleaserFixture
{
public:
  explicit ReleaserFixture(const RelaySettings& aSettings = {})
    : settings(aSettings)
    , dialect(MakeAnyEndpointDialect(TestDialect()))
    , loop(clock, aSettings.client)
    , releaser(std::make_unique<CopyReleaser>(loop, dialect, settings))
  {
    this->loop.Start();
  }

  ~ReleaserFixture() { this->loop.Stop(); }
  ReleaserFixture(const ReleaserFixture&) = delete;
  ReleaserFixture& operator=(const ReleaserFixture&) = delete;

  /// Runs the task on the loop and waits for its end.
  void Run(const std::function<void()>& aTask)
  {
    std::promise<void> done;
    this->loop.Post([&] {
      aTask();
      done.set_value();
    });
    done.get_future().wait();
  }

  void Release(const ScriptedServer& aServer, const std::string& aHandle)
  {
    this->Run([&] { this->releaser->Release(AddressOf(aServer), aHandle); });
  }

  /// Starts a move and gives it away while its reply is awaited, as a run does that ends meanwhile.
  void StartAndAdoptMove(const ScriptedServer& aSource)
  {
    this->Run([&] {
      auto move = std::make_unique<RelayMove>(this->loop, this->dialect,
                                              [this](const MoveResult&) { ++this->ownReplies; });
      RelayCall call;
      call.id = "r1";
      move->Start(call, AddressOf(aSource), "127.0.0.1:1", this->settings.moveTimeout);
      this->releaser->Adopt(std::move(move), AddressOf(aSource));
    });
  }

  [[nodiscard]] CopyReleaser::Counts Counts()
  {
    CopyReleaser::Counts counts;
    this->Run([&] { counts = this->releaser->GetCounts(); });
    return counts;
  }

  SystemClock clock;
  RelaySettings settings;
  AnyEndpointDialect dialect;
  TrafficLoop loop;
  std::unique_ptr<CopyReleaser> releaser;
  std::atomic<int> ownReplies{ 0 }; ///< Replies that reached the callback of a run that has ended.
};

} // namespace

BOOST_AUTO_TEST_SUITE(CopyReleaserTests)

// A copy that no request uses would occupy a slot and memory until the endpoint's timeout, as no call names it
BOOST_AUTO_TEST_CASE(CopyIsReleasedByOneCall)
{
  const ScriptedServer server([](const std::string&) { return Send(MakeResponse("")); });
  ReleaserFixture fixture;
  fixture.Release(server, "h-1");
  Await([&] { return fixture.Counts().released == 1; });
  std::this_thread::sleep_for(kQuietTime);
  BOOST_REQUIRE_EQUAL(server.Requests().size(), 1U);
  BOOST_TEST(server.Requests().at(0).starts_with("DELETE /copies/h-1 HTTP/1.1\r\n"));
  BOOST_TEST(fixture.Counts().failed == 0U);
}

// A late reply to another request would confirm a release, or a late reply to a release would answer another request
BOOST_AUTO_TEST_CASE(ReleaseHasAConnectionOfItsOwn)
{
  std::mutex mutex;
  std::set<std::thread::id> connections; // Each is served by a thread of its own
  const ScriptedServer server([&](const std::string&) -> Script {
    const std::lock_guard lock(mutex);
    connections.insert(std::this_thread::get_id());
    return { { Kind::Send, MakeResponse("") }, { Kind::Wait, {}, Seconds(20) } };
  });
  ReleaserFixture fixture;
  // Leaves an idle connection to the endpoint
  fixture.StartAndAdoptMove(server);
  Await([&] { return fixture.Counts().released + fixture.Counts().unknown == 1; });
  fixture.Release(server, "h-1");
  Await([&] { return fixture.Counts().released == 1; });
  fixture.Release(server, "h-2");
  Await([&] { return fixture.Counts().released == 2; });
  const std::lock_guard lock(mutex);
  BOOST_TEST(connections.size() == 3U);
  // Those of the releases are closed after their replies
  Await([&] { return server.AbandonedScripts() == 2; });
}

// The copy of a move whose run has ended before the reply would not be freed, as nobody reads its handle
BOOST_AUTO_TEST_CASE(CopyOfAnAdoptedMoveIsReleasedAtItsSource)
{
  for (const char* status : { "200 OK", "503 Busy" }) {
    BOOST_TEST_CONTEXT(status)
    {
      const ScriptedServer source([&](const std::string& aRequest) -> Script {
        if (IsMove(aRequest)) {
          return { { Kind::Wait, {}, Milliseconds(100) },
                   { Kind::Send, MakeResponse("h-1", status) } };
        }
        return Send(MakeResponse(""));
      });
      ReleaserFixture fixture;
      fixture.StartAndAdoptMove(source);
      Await([&] { return fixture.Counts().released == 1; });
      BOOST_REQUIRE_EQUAL(source.Requests().size(), 2U);
      BOOST_TEST(source.Requests().at(1).starts_with("DELETE /copies/h-1 "));
      BOOST_TEST(fixture.ownReplies == 0);
    }
  }
}

// A reply without a handle, or none at all, would lead to a call that names no copy, or to a move that is kept for ever
BOOST_AUTO_TEST_CASE(AdoptedMoveWithoutAHandleReleasesNothing)
{
  struct Case
  {
    Script script;
    bool mayHaveCopy = false;
  };
  const std::vector<Case> cases{
    { Send(MakeResponse("", "404 Not Found")), false },
    { Send(MakeResponse("", "409 Conflict")), false },
    { Send(MakeResponse("", "503 Busy")), false },
    { Send(MakeResponse("", "500 Error")), true },
    { Script{ { Kind::Close } }, true },
    { Script{ { Kind::Reset } }, true },
    { Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nh-1"), true },
    { StaySilent(), true },
  };
  for (const Case& each : cases) {
    const ScriptedServer source([&](const std::string&) { return each.script; });
    RelaySettings settings;
    settings.moveTimeout = Milliseconds(300);
    settings.maximumAdoptedMoves = 1;
    ReleaserFixture fixture(settings);
    fixture.StartAndAdoptMove(source);
    Await([&] { return fixture.Counts().withoutCopy + fixture.Counts().unknown == 1; });
    BOOST_TEST(fixture.Counts().unknown == (each.mayHaveCopy ? 1U : 0U));
    std::this_thread::sleep_for(kQuietTime);
    BOOST_TEST(CountReleases(source) == 0);
    // The next one is awaited, so the first takes no room any more
    fixture.StartAndAdoptMove(source);
    BOOST_TEST(fixture.Counts().cancelled == 0U);
  }
}

// Repeated calls would add load to an endpoint that is in trouble, for a copy that its timeout frees anyway
BOOST_AUTO_TEST_CASE(FailedReleaseIsNotRepeated)
{
  const std::vector<Script> scripts{
    Send(MakeResponse("", "404 Not Found")),
    Send(MakeResponse("", "500 Error")),
    Send(MakeResponse("", "503 Busy", "Retry-After: 0\r\n")),
    Send("no HTTP\r\n\r\n"),
    Send(MakeResponse(std::string(100'000, 'x'))),
    { { Kind::Close } },
    { { Kind::Reset } },
    StaySilent(),
  };
  for (const Script& script : scripts) {
    const ScriptedServer server([&](const std::string&) { return script; });
    RelaySettings settings;
    settings.releaseTimeout = Milliseconds(300);
    ReleaserFixture fixture(settings);
    fixture.Release(server, "h-1");
    Await([&] { return fixture.Counts().failed == 1; });
    std::this_thread::sleep_for(kQuietTime);
    BOOST_TEST(server.Requests().size() == 1U);
    BOOST_TEST(fixture.Counts().failed == 1U);
    BOOST_TEST(fixture.Counts().released == 0U);
  }
}

// An endpoint that is gone must not be tried again either, and the call must not take up room
BOOST_AUTO_TEST_CASE(ReleaseAtAnEndpointThatIsGoneFailsAtOnce)
{
  auto gone = std::make_unique<ScriptedServer>([](const std::string&) { return Script(); });
  const std::string address = AddressOf(*gone);
  gone.reset();
  RelaySettings settings;
  settings.maximumReleases = 1;
  ReleaserFixture fixture(settings);
  for (std::uint64_t count = 1; count <= 3; ++count) {
    fixture.Run([&] { fixture.releaser->Release(address, "h-1"); });
    Await([&] { return fixture.Counts().failed == count; });
  }
  BOOST_TEST(fixture.Counts().dropped == 0U);
}

// Silent endpoints would make a daemon hold a connection for each copy of a large leaving
BOOST_AUTO_TEST_CASE(ReleasesAndAdoptedMovesAreBounded)
{
  std::atomic<bool> isSilent{ true };
  const ScriptedServer server([&](const std::string& aRequest) -> Script {
    if (isSilent) {
      return StaySilent();
    }
    return Send(MakeResponse(IsMove(aRequest) ? "h-9" : ""));
  });
  RelaySettings settings;
  settings.maximumReleases = 2;
  settings.maximumAdoptedMoves = 3;
  settings.releaseTimeout = Milliseconds(600);
  settings.moveTimeout = Milliseconds(600);
  ReleaserFixture fixture(settings);
  for (int index = 0; index < 5; ++index) {
    fixture.Release(server, "h-1");
    fixture.StartAndAdoptMove(server);
  }
  BOOST_TEST(fixture.Counts().dropped == 3U);
  BOOST_TEST(fixture.Counts().cancelled == 2U);
  Await([&] { return fixture.Counts().failed == 2 && fixture.Counts().unknown == 3; });
  BOOST_TEST(CountReleases(server) == 2);
  // There is room again
  isSilent = false;
  fixture.Release(server, "h-2");
  fixture.StartAndAdoptMove(server);
  Await([&] { return fixture.Counts().released == 2; });
  BOOST_TEST(fixture.Counts().dropped == 3U);
  BOOST_TEST(fixture.Counts().cancelled == 2U);
}

// A call or a move that outlives the releaser would use freed memory at its end
BOOST_AUTO_TEST_CASE(DestructionCancelsCallsAndMovesInProgress)
{
  const ScriptedServer server([](const std::string&) { return StaySilent(); });
  ReleaserFixture fixture;
  fixture.Release(server, "h-1");
  fixture.StartAndAdoptMove(server);
  Await([&] { return server.Requests().size() == 2; });
  fixture.Run([&] { fixture.releaser.reset(); });
  // Their connections are closed long before their timeouts
  const auto begin = std::chrono::steady_clock::now();
  Await([&] { return server.AbandonedScripts() == 2; });
  BOOST_TEST((std::chrono::steady_clock::now() - begin < fixture.settings.moveTimeout));
  BOOST_TEST(server.Requests().size() == 2U);
  BOOST_TEST(fixture.ownReplies == 0);
}

// A daemon that ends destroys its parts after the loop's thread, while calls are in progress
BOOST_AUTO_TEST_CASE(DestructionAfterTheLoopHasStopped)
{
  const ScriptedServer server([](const std::string&) { return StaySilent(); });
  ReleaserFixture fixture;
  fixture.Release(server, "h-1");
  fixture.StartAndAdoptMove(server);
  Await([&] { return server.Requests().size() == 2; });
  fixture.loop.Stop();
  fixture.releaser.reset();
  BOOST_TEST(fixture.ownReplies == 0);
}

BOOST_AUTO_TEST_SUITE_END()
