#include "Lagoonward/Attempts/CrashProbe.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Core/UniqueFd.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <future>
#include <optional>
#include <string>

using namespace lagoonward;

namespace {

/// An endpoint's listening socket on a free loopback port; connections are accepted by the kernel only.
struct Listener
{
  Listener()
    : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
  {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(name);
    auto* const any = reinterpret_cast<sockaddr*>(&name);
    BOOST_TEST_REQUIRE(::bind(this->socket.Get(), any, length) == 0);
    BOOST_TEST_REQUIRE(::listen(this->socket.Get(), SOMAXCONN) == 0);
    BOOST_TEST_REQUIRE(::getsockname(this->socket.Get(), any, &length) == 0);
    this->address = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
  }

  /// Waits until the other end has established a connection and closed it.
  void AwaitClosedConnection() const
  {
    pollfd listening{ this->socket.Get(), POLLIN, 0 };
    BOOST_TEST_REQUIRE(::poll(&listening, 1, -1) == 1);
    const UniqueFd accepted(::accept4(this->socket.Get(), nullptr, nullptr, SOCK_CLOEXEC));
    pollfd closing{ accepted.Get(), POLLRDHUP, 0 };
    BOOST_TEST_REQUIRE(::poll(&closing, 1, -1) == 1);
  }

  /// Takes the connections that are there. @return their number
  [[nodiscard]] int Accept() const
  {
    int count = 0;
    while (UniqueFd(::accept4(this->socket.Get(), nullptr, nullptr, SOCK_CLOEXEC)).IsValid()) {
      ++count;
    }
    return count;
  }

  UniqueFd socket;
  std::string address;
};

struct Fixture
{
  explicit Fixture(const CrashProbeSettings& aSettings)
    : settings(aSettings)
  {
    this->loop.Start();
    this->OnLoop([this] { this->probe.emplace(this->loop, this->settings); });
  }
  ~Fixture()
  {
    this->OnLoop([this] { this->probe.reset(); });
    this->loop.Stop();
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  template<typename Task>
  void OnLoop(const Task& aTask)
  {
    std::promise<void> done;
    this->loop.Post([&] {
      aTask();
      done.set_value();
    });
    done.get_future().wait();
  }

  /// Begins a check. @return whether the endpoint has terminated
  [[nodiscard]] std::future<bool> Check(const std::string& aAddress)
  {
    this->OnLoop([&] {
      this->probe->CheckTerminated(aAddress,
                                   [this](bool aIsDead) { this->isDead.set_value(aIsDead); });
    });
    return this->isDead.get_future();
  }

  SystemClock clock;
  TrafficLoop loop{ this->clock, HttpClientSettings{} };
  CrashProbeSettings settings;
  std::optional<CrashProbe> probe;
  std::promise<bool> isDead;
};

constexpr CrashProbeSettings kPatient{ Milliseconds(300), Seconds(20) };

} // namespace

BOOST_AUTO_TEST_SUITE(CrashProbeTests)

// Guards against a crash that is not counted: the kernel closes the connections of a process that ends first, and its
// listening socket some milliseconds later.
BOOST_AUTO_TEST_CASE(ProcessWhoseListeningSocketClosesLastHasTerminated)
{
  Listener listener;
  Fixture fixture(kPatient);
  std::future<bool> isDead = fixture.Check(listener.address);
  listener.AwaitClosedConnection();
  listener.socket.Reset();
  BOOST_TEST(isDead.get());
}

BOOST_AUTO_TEST_CASE(ProcessWithoutListeningSocketHasTerminatedAtOnce)
{
  Listener listener;
  listener.socket.Reset();
  Fixture fixture({ Seconds(30), Seconds(20) });
  BOOST_TEST(fixture.Check(listener.address).get());
}

BOOST_AUTO_TEST_CASE(ProcessThatGoesOnListeningLives)
{
  const Listener listener;
  Fixture fixture(kPatient);
  BOOST_TEST(!fixture.Check(listener.address).get());
  BOOST_TEST(listener.Accept() == 2);
}

BOOST_AUTO_TEST_CASE(ResultThatTakesTooLongIsNotWaitedFor)
{
  const Listener listener;
  Fixture fixture({ Seconds(30), Milliseconds(20) });
  BOOST_TEST(!fixture.Check(listener.address).get());
}

BOOST_AUTO_TEST_SUITE_END()
