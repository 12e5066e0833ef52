#include "Lagoonward/Claims/ClaimLedger.h"
#include "Lagoonward/Claims/ClaimTicket.h"
#include "Lagoonward/Core/VirtualClock.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

constexpr Milliseconds kLifetime{ 3'600'000 };
const ClaimKey kKey = MakeClaimKey("vestland", "county", "permit-1");

WallTime
At(std::int64_t aSeconds)
{
  return FromUnixMilliseconds(aSeconds * 1000);
}

/// A ledger to which the test applies records one by one.
struct Fixture
{
  void Claim(const std::string& aBy, std::int64_t aAt, std::uint64_t aSequence = 0)
  {
    ClaimRecord record{ { "author", 1 }, At(aAt), {}, {} };
    record.claims.push_back({ kKey, 7, { aBy, aSequence } });
    this->ledger.Apply(this->ledger.NextOffset(), WriteClaimRecord(record));
  }
  void Outcome(const std::string& aBy, std::int64_t aAt, Ran aRan)
  {
    ClaimRecord record{ { "author", 1 }, At(aAt), {}, {} };
    record.outcomes.push_back({ kKey, { aBy, 0 }, aRan });
    this->ledger.Apply(this->ledger.NextOffset(), WriteClaimRecord(record));
  }
  [[nodiscard]] std::string Holder(std::int64_t aAt) const
  {
    const auto holder = this->ledger.Find(kKey, At(aAt));
    return holder ? holder->id.incarnation : "";
  }

  ClaimLedger ledger{ kLifetime };
};

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimLedgerTests)

BOOST_AUTO_TEST_CASE(FirstClaimByOffsetWins)
{
  Fixture log;
  log.Claim("a", 100);
  log.Claim("b", 50);
  BOOST_TEST(log.Holder(101) == "a");
  log.Outcome("b", 102, Ran::Yes);
  BOOST_TEST((log.ledger.Find(kKey, At(102))->ran == Ran::Unknown));
  log.Outcome("a", 103, Ran::Yes);
  log.Outcome("a", 104, Ran::No);
  BOOST_TEST((log.ledger.Find(kKey, At(104))->ran == Ran::Yes));
}

BOOST_AUTO_TEST_CASE(WithdrawalFreesTheKeyBeforeOrAfterTheClaim)
{
  Fixture log;
  log.Claim("a", 100);
  log.Outcome("a", 101, Ran::No);
  BOOST_TEST(log.Holder(101).empty());
  log.Claim("a", 102);
  BOOST_TEST(log.Holder(102).empty());
  log.Claim("b", 103);
  BOOST_TEST(log.Holder(103) == "b");

  // Withdrawn before the claim is appended
  Fixture late;
  late.Outcome("a", 100, Ran::No);
  late.Claim("a", 101);
  BOOST_TEST(late.Holder(101).empty());
  BOOST_TEST(late.ledger.IsVoid({ "a", 0 }));
}

BOOST_AUTO_TEST_CASE(LosingClaimsExtendTheHoldOfAKey)
{
  Fixture log;
  log.Claim("a", 100);
  log.Claim("b", 3600);
  log.Claim("c", 7000);
  BOOST_TEST(log.Holder(7000) == "a");
  log.Claim("d", 7000 + 3601);
  BOOST_TEST(log.Holder(7000 + 3601) == "d");
}

BOOST_AUTO_TEST_CASE(ExpiredKeysAreRemovedAndShortLogRetentionIsReported)
{
  Fixture log;
  log.Claim("a", 100);
  log.Outcome("x", 100, Ran::No);
  log.Claim("b", 2000);
  BOOST_TEST(!log.ledger.ObserveStart(1, At(3800)).retentionTooShort);
  BOOST_TEST(log.ledger.ObserveStart(1, At(3600)).retentionTooShort);
  log.ledger.RemoveExpired(At(2000 + 3600));
  BOOST_TEST(log.ledger.Size() == 1U);
  BOOST_TEST(!log.ledger.IsVoid({ "x", 0 }));
  log.ledger.RemoveExpired(At(2000 + 3700));
  BOOST_TEST(log.ledger.Size() == 0U);
  BOOST_TEST(log.ledger.ObserveStart(9, At(6000)).skipped == 6);
  BOOST_TEST(log.ledger.NextOffset() == 9);
}

BOOST_AUTO_TEST_CASE(InvalidRecordsAreSkipped)
{
  ClaimLedger ledger(kLifetime);
  for (const char* text : { "", "{}", R"({"author":{"incarnation":"a","sequence":1},"at_ms":1,
       "claims":[{"key":"12","body":"0123456789abcdef","by":"a","seq":1}],"outcomes":[]})" }) {
    const auto applied = ledger.Apply(ledger.NextOffset(), text);
    BOOST_TEST(!applied.author.has_value());
    BOOST_TEST(!applied.faults.IsEmpty());
  }
  BOOST_TEST(ledger.NextOffset() == 3);
}

BOOST_AUTO_TEST_CASE(ClaimKeysOfDifferentClientsDiffer)
{
  BOOST_TEST((MakeClaimKey("v", "ab", "c") != MakeClaimKey("v", "a", "bc")));
  BOOST_TEST((MakeClaimKey("v", "a", "k") == MakeClaimKey("v", "a", "k")));
}

BOOST_AUTO_TEST_CASE(TicketAllowsAtMostOneDispatch)
{
  VirtualClock clock;
  const auto make = [&] {
    return std::make_unique<ClaimTicket>(Claim(), clock.BootNow() + Seconds(5));
  };
  const auto won = make();
  BOOST_TEST(!won->BeginDispatch(clock));
  BOOST_TEST(won->MarkWon());
  BOOST_TEST(won->BeginDispatch(clock));
  BOOST_TEST(!won->BeginDispatch(clock));
  BOOST_TEST(!won->Close());
  const auto closed = make();
  BOOST_TEST(closed->Close());
  BOOST_TEST(!closed->MarkWon());
  BOOST_TEST(!closed->BeginDispatch(clock));

  // A ticket whose dispatch window ended during a suspension must not dispatch
  const auto paused = make();
  BOOST_TEST(paused->MarkWon());
  clock.Suspend(Seconds(6));
  BOOST_TEST(!paused->BeginDispatch(clock));
  BOOST_TEST(paused->Close());
}

BOOST_AUTO_TEST_SUITE_END()
