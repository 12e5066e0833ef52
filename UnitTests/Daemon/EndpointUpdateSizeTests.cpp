#include "UnitTests/Daemon/VirtualReplicationFleet.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;
using namespace lagoonward::replication_tests;

namespace {

constexpr std::size_t kLongestRecord = 262'144;
/// Of a message between daemons; see PeerTransport::MaximumBytes().
constexpr std::size_t kLongestMessage = (1U << 20U) - 64;
/// Time in which a leaving endpoint must be known on all daemons, by the default settings.
constexpr Milliseconds kLeavingNotice{ 2'000 };
/// Between two checks of the daemons' ages.
constexpr Milliseconds kCheckInterval{ 20 };

/// A fleet whose daemons know two endpoints and have not read the source themselves for a while.
struct SizeFleet : VirtualFleet
{
  SizeFleet()
    : VirtualFleet(8, { "a", "b" })
  {
    this->Write("old", "live");
    this->Write("other", "live");
    this->Run(Seconds(6));
  }

  /// Endpoints write records, all at the same moment.
  void WriteMany(int aCount, std::size_t aBytes)
  {
    for (int index = 0; index < aCount; ++index) {
      this->Write("new-" + std::to_string(index), std::string(aBytes, 'x'));
    }
  }

  /// Runs the fleet, and checks that no age is below the truth meanwhile.
  void RunAndCheck(Milliseconds aSpan)
  {
    for (Milliseconds passed{ 0 }; passed < aSpan; passed += kCheckInterval) {
      this->Run(kCheckInterval);
      const std::string contradiction = this->FindFalseAge();
      BOOST_REQUIRE_MESSAGE(contradiction.empty(), contradiction);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointUpdateSizeTests, SizeFleet)

// Guards against daemons that end with an exception: what endpoints wrote between two reads was sent in one message,
// however long, and the encoder threw.
BOOST_AUTO_TEST_CASE(ChangesThatExceedAMessageAreSentInParts)
{
  for (const auto& [count, bytes] :
       { std::pair(6, kLongestRecord - 1), std::pair(80, std::size_t{ 20'000 }) }) {
    this->WriteMany(count, bytes);
    this->RunAndCheck(kLeavingNotice);
    const std::string last = "new-" + std::to_string(count - 1);
    BOOST_TEST(this->CountLive(last) == this->daemons.size());
    for (const auto& daemon : this->daemons) {
      BOOST_TEST((daemon->Replicator().Age() < kLeavingNotice));
    }
    BOOST_TEST(this->largestMessage <= kLongestMessage);
  }
}

// Guards against a leaving that is known late, as the changes before it take several messages.
BOOST_AUTO_TEST_CASE(LeavingBehindManyChangesIsKnownInTime)
{
  this->WriteMany(12, kLongestRecord - 1);
  this->Write("old", "leaving");
  this->RunAndCheck(kLeavingNotice);
  BOOST_TEST(this->CountLive("old") == 0U);
  this->WriteMany(12, kLongestRecord - 2);
  this->Run(Milliseconds(150));
  this->Write("other", "leaving");
  this->OfRank(0).Kill();
  this->RunAndCheck(kLeavingNotice);
  BOOST_TEST(this->CountLive("other") == 0U);
}

// Guards against a daemon that ends with an exception when another asks it for all records.
BOOST_AUTO_TEST_CASE(SnapshotThatExceedsAMessageIsNotSent)
{
  this->WriteMany(6, kLongestRecord - 1);
  this->RunAndCheck(Seconds(4));
  VirtualDaemon& started = *this->daemons.front();
  started.Kill();
  started.reachesSource = false;
  this->Run(Seconds(1));
  started.Start();
  this->RunAndCheck(Seconds(6));
  BOOST_TEST(this->largestMessage <= kLongestMessage);
  started.reachesSource = true;
  this->RunAndCheck(Seconds(6));
  BOOST_TEST(this->CountLive("new-5") == this->daemons.size());
}

BOOST_AUTO_TEST_SUITE_END()
