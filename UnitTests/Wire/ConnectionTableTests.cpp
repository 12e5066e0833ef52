#include "Lagoonward/Core/UniqueFd.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Wire/ConnectionTable.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <sys/socket.h>

using namespace lagoonward;

namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
constexpr std::size_t kMemory = 16 * kMegabyte;
constexpr std::size_t kLargeBody = 4 * kMegabyte;
constexpr std::size_t kHead = 200;
constexpr std::size_t kBuffer = 48U << 10U;
constexpr Milliseconds kStall{ 2000 };

/// A connected pair of sockets, one of them in a table.
class TestConnection
{
public:
  TestConnection(ConnectionTable& aTable, ConnectionTable::Listener& aListener)
    : table(aTable)
  {
    int pair[2] = {};
    BOOST_REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, pair) == 0);
    this->server = UniqueFd(pair[0]);
    this->client = UniqueFd(pair[1]);
    this->connection = &aTable.Open(aListener, this->server.Get());
  }

  ~TestConnection() { this->table.Close(*this->connection); }
  TestConnection(const TestConnection&) = delete;
  TestConnection& operator=(const TestConnection&) = delete;

  /// Receives a head that announces a body.
  bool BeginBody(std::size_t aLength, bool aIsLengthKnown = true)
  {
    this->table.OnHeadBegun(*this->connection);
    return this->table.OnHeadReceived(*this->connection, kHead, aLength, aIsLengthKnown);
  }

  bool Receive(std::size_t aBytes)
  {
    return this->table.OnBodyReceived(*this->connection, aBytes, aBytes);
  }

  /// Whether the table has closed it.
  [[nodiscard]] bool IsClosed() const
  {
    char byte = 0;
    return ::recv(this->client.Get(), &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
  }

  ConnectionTable& table;
  UniqueFd server;
  UniqueFd client;
  ConnectionTable::Connection* connection = nullptr;
};

struct TableFixture
{
  TestConnection& Open() { return this->connections.emplace_back(*this->table, this->listener); }

  /// Connections whose bodies lack their last byte.
  void OpenUnfinished(int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      TestConnection& each = this->Open();
      static_cast<void>(each.BeginBody(kLargeBody) && each.Receive(kLargeBody - 1));
    }
  }

  [[nodiscard]] std::ptrdiff_t ClosedCount() const
  {
    return std::count_if(this->connections.begin(), this->connections.end(),
                         [](const TestConnection& aEach) { return aEach.IsClosed(); });
  }

  VirtualClock clock;
  std::shared_ptr<ConnectionTable> table = std::make_shared<ConnectionTable>(
    ConnectionTableSettings{ .maximumRequestMemory = kMemory, .stallTime = kStall }, clock);
  ConnectionTable::Listener& listener =
    table->AddListener({ .maximumConnections = 100, .bufferBytes = kBuffer });
  std::list<TestConnection> connections;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionTableTests, TableFixture)

BOOST_AUTO_TEST_CASE(NothingIsClosedWithinTheBounds)
{
  this->OpenUnfinished(2);
  for (int number = 0; number < 90; ++number) {
    BOOST_TEST(this->Open().BeginBody(0));
  }
  this->table->Sweep();
  BOOST_TEST(this->ClosedCount() == 0);
  this->connections.clear();
  BOOST_TEST(this->table->Held() == 0U);
}

/// Guards against bodies that stop short of their end and fill the memory, each within the limit of one.
BOOST_AUTO_TEST_CASE(UnfinishedBodiesTogetherStayWithinTheMemory)
{
  this->OpenUnfinished(50);
  std::size_t held = 0;
  for (const TestConnection& each : this->connections) {
    held += each.IsClosed() ? 0 : kLargeBody;
  }
  BOOST_TEST(held <= kMemory);
  BOOST_TEST(this->ClosedCount() >= 46);
}

/// Guards against a crowd that stays open and keeps everybody else out.
BOOST_AUTO_TEST_CASE(StalledBodiesMakeRoomForALargeOne)
{
  this->OpenUnfinished(3);
  this->clock.Advance(kStall);
  TestConnection& largest = this->Open();
  BOOST_TEST(largest.BeginBody(kLargeBody));
  for (std::size_t received = kBuffer; received < kLargeBody; received += kBuffer) {
    BOOST_REQUIRE(largest.Receive(received));
  }
  BOOST_TEST(largest.Receive(kLargeBody));
  BOOST_TEST((this->table->OnRequestReceived(*largest.connection) != nullptr));
  BOOST_TEST(!largest.IsClosed());
}

/// Guards against a byte now and then that counts as progress.
BOOST_AUTO_TEST_CASE(TricklingBodyCountsAsStalled)
{
  TestConnection& trickling = this->Open();
  BOOST_TEST(trickling.BeginBody(kLargeBody, false));
  BOOST_TEST(trickling.Receive(kLargeBody / 2));
  for (int number = 1; number <= 20; ++number) {
    this->clock.Advance(kStall / 10);
    BOOST_TEST(trickling.Receive(kLargeBody / 2 + static_cast<std::size_t>(number)));
  }
  this->OpenUnfinished(3);
  BOOST_TEST(trickling.IsClosed());
}

BOOST_AUTO_TEST_CASE(BodyOfWhichMostIsMissingMakesRoomFirst)
{
  TestConnection& begun = this->Open();
  BOOST_TEST((begun.BeginBody(2 * kLargeBody) && begun.Receive(kLargeBody + kMegabyte)));
  TestConnection& advanced = this->Open();
  BOOST_TEST((advanced.BeginBody(kLargeBody) && advanced.Receive(kLargeBody - 1)));
  this->OpenUnfinished(1);
  BOOST_TEST(begun.IsClosed());
  BOOST_TEST(!advanced.IsClosed());
}

/// Guards against a request that is closed although it may run.
BOOST_AUTO_TEST_CASE(CompleteRequestsAreNeverClosed)
{
  std::vector<ConnectionTable::RequestHold> holds;
  for (int number = 0; number < 2; ++number) {
    TestConnection& each = this->Open();
    BOOST_TEST((each.BeginBody(kLargeBody) && each.Receive(kLargeBody)));
    holds.push_back(this->table->OnRequestReceived(*each.connection));
  }
  this->clock.Advance(std::chrono::hours(1));
  this->OpenUnfinished(200);
  this->table->Sweep();
  BOOST_TEST(!this->connections.front().IsClosed());
  BOOST_TEST(!std::next(this->connections.begin())->IsClosed());
}

/// Guards against large requests that wait for their endpoints and keep small ones out.
BOOST_AUTO_TEST_CASE(LargeRequestsLeaveMemoryToSmallOnes)
{
  std::vector<ConnectionTable::RequestHold> holds;
  for (int number = 0; number < 10; ++number) {
    TestConnection& each = this->Open();
    if (each.BeginBody(kLargeBody) && each.Receive(kLargeBody)) {
      holds.push_back(this->table->OnRequestReceived(*each.connection));
    }
  }
  BOOST_TEST(this->table->Held() <= kMemory / 4 * 3 + kMegabyte);
  TestConnection& small = this->Open();
  BOOST_TEST((small.BeginBody(100) && small.Receive(100)));
  BOOST_TEST((this->table->OnRequestReceived(*small.connection) != nullptr));
}

/// Guards against a large body that is received although it is known that there will be no memory for it.
BOOST_AUTO_TEST_CASE(AnnouncedBodyWithoutMemoryIsRefusedAtItsHead)
{
  std::vector<ConnectionTable::RequestHold> holds;
  for (int number = 0; number < 2; ++number) {
    TestConnection& each = this->Open();
    BOOST_TEST((each.BeginBody(kLargeBody) && each.Receive(kLargeBody)));
    holds.push_back(this->table->OnRequestReceived(*each.connection));
  }
  TestConnection& third = this->Open();
  BOOST_TEST(!third.BeginBody(kLargeBody));
  BOOST_TEST(!third.IsClosed());
  holds.clear();
  BOOST_TEST(this->Open().BeginBody(kLargeBody));
}

/// Guards against memory of a request that is freed while one of its attempts still uses it.
BOOST_AUTO_TEST_CASE(MemoryOfARequestIsHeldUntilItsLastOwnerIsGone)
{
  TestConnection& each = this->Open();
  BOOST_TEST((each.BeginBody(kLargeBody) && each.Receive(kLargeBody)));
  ConnectionTable::RequestHold hold = this->table->OnRequestReceived(*each.connection);
  ConnectionTable::RequestHold copy = hold;
  this->table->OnRequestEnded(*each.connection);
  this->connections.clear();
  hold.reset();
  BOOST_TEST(this->table->Held() >= kLargeBody);
  copy.reset();
  BOOST_TEST(this->table->Held() == 0U);
}

/// Guards against connections that send nothing and keep all others out.
BOOST_AUTO_TEST_CASE(ConnectionIdleForLongestMakesRoomForANewOne)
{
  for (int number = 0; number < 100; ++number) {
    this->Open();
    this->clock.Advance(Milliseconds(1));
  }
  // The first one has sent a request in the meantime
  TestConnection& first = this->connections.front();
  BOOST_TEST(first.BeginBody(0));
  this->table->OnRequestEnded(*first.connection);
  this->Open();
  BOOST_TEST(this->ClosedCount() == 1);
  BOOST_TEST(std::next(this->connections.begin())->IsClosed());
}

/// Guards against a new connection that stays although all others are in use.
BOOST_AUTO_TEST_CASE(NewConnectionIsClosedIfAllOthersHaveRequestsInProgress)
{
  std::vector<ConnectionTable::RequestHold> holds;
  for (int number = 0; number < 100; ++number) {
    TestConnection& each = this->Open();
    BOOST_TEST(each.BeginBody(0));
    holds.push_back(this->table->OnRequestReceived(*each.connection));
  }
  BOOST_TEST(this->Open().IsClosed());
  BOOST_TEST(this->ClosedCount() == 1);
}

/// Guards against a connection that counts as closed twice, so that the number of open ones is wrong ever after.
BOOST_AUTO_TEST_CASE(RequestThatArrivedBeforeItsConnectionWasClosedIsDropped)
{
  for (int number = 0; number < 101; ++number) {
    this->Open();
  }
  TestConnection& closed = this->connections.front();
  BOOST_TEST(closed.IsClosed());
  BOOST_TEST(!closed.BeginBody(0));
  BOOST_TEST((this->table->OnRequestReceived(*closed.connection) == nullptr));
  this->table->OnRequestEnded(*closed.connection);
  this->connections.pop_front();
  BOOST_TEST(this->table->Closed() == 1U);
  // Memory that is short makes no difference
  ConnectionTable::Listener& many =
    this->table->AddListener({ .maximumConnections = 10'000, .bufferBytes = kBuffer });
  for (int number = 0; number < 500; ++number) {
    this->table->OnHeadBegun(*this->connections.emplace_back(*this->table, many).connection);
  }
  for (TestConnection& each : this->connections) {
    this->table->OnHeadBegun(*each.connection);
  }
  const std::uint64_t before = this->table->Closed();
  this->connections.clear();
  for (int number = 0; number < 100; ++number) {
    this->Open();
  }
  BOOST_TEST(this->table->Closed() == before);
  BOOST_TEST(this->table->Held() == 0U);
}

/// Guards against unfinished heads that fill the memory.
BOOST_AUTO_TEST_CASE(UnfinishedHeadsTogetherStayWithinTheMemory)
{
  ConnectionTable::Listener& many =
    this->table->AddListener({ .maximumConnections = 10'000, .bufferBytes = kBuffer });
  for (int number = 0; number < 500; ++number) {
    this->table->OnHeadBegun(*this->connections.emplace_back(*this->table, many).connection);
  }
  BOOST_TEST(500 - this->ClosedCount() <= static_cast<std::ptrdiff_t>(kMemory / kBuffer));
}

BOOST_AUTO_TEST_CASE(HeadsAndBodiesThatTakeTooLongAreClosed)
{
  this->table->SetTimeouts(this->listener, Milliseconds(3'000), Milliseconds(60'000));
  TestConnection& idle = this->Open();
  TestConnection& head = this->Open();
  this->table->OnHeadBegun(*head.connection);
  TestConnection& body = this->Open();
  BOOST_TEST(body.BeginBody(kLargeBody));
  for (int second = 0; second < 59; ++second) {
    this->clock.Advance(Milliseconds(1'000));
    BOOST_TEST(body.Receive(static_cast<std::size_t>(second) * kBuffer));
    this->table->Sweep();
    BOOST_TEST(head.IsClosed() == (second >= 5));
  }
  BOOST_TEST(!body.IsClosed());
  for (int second = 0; second < 6; ++second) {
    this->clock.Advance(Milliseconds(1'000));
    this->table->Sweep();
  }
  BOOST_TEST(body.IsClosed());
  BOOST_TEST(!idle.IsClosed());
}

/// Guards against heads that are closed because this process stood still while their rest waited in the socket.
BOOST_AUTO_TEST_CASE(StandstillDoesNotMakeAHeadLate)
{
  this->table->SetTimeouts(this->listener, Milliseconds(3'000), Milliseconds(60'000));
  TestConnection& head = this->Open();
  this->table->OnHeadBegun(*head.connection);
  this->clock.Advance(Milliseconds(30'000));
  this->table->Sweep();
  BOOST_TEST(!head.IsClosed());
  BOOST_TEST(this->table->OnHeadReceived(*head.connection, kHead, 0, true));
}

BOOST_AUTO_TEST_SUITE_END()
