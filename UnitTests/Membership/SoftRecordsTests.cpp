#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Membership/SoftRecords.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lagoonward;

namespace {

SoftRecord
MakeRecord(std::uint64_t aKey, std::uint32_t aRevision, PeerKey aServer = 1)
{
  SoftRecord record;
  record.keyHash = aKey;
  record.server = aServer;
  record.revision = aRevision;
  record.expiresIn = 10000;
  return record;
}

std::vector<Peer>
MakePeers(std::size_t aCount)
{
  std::vector<Peer> peers;
  for (std::size_t index = 0; index < aCount; ++index) {
    Peer peer;
    peer.info = { "daemon-" + std::to_string(index), "127.0.0.1", 1,
                  "domain-" + std::to_string(index % 3), "region" };
    peer.key = peer.info.Key();
    peers.push_back(peer);
  }
  return peers;
}

std::vector<Peer>
Without(std::vector<Peer> aPeers, PeerKey aKey)
{
  std::erase_if(aPeers, [&](const Peer& aPeer) { return aPeer.key == aKey; });
  return aPeers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SoftRecordsTests)

BOOST_AUTO_TEST_CASE(RecordIsReplacedByANewerRevisionOrAnotherServer)
{
  VirtualClock clock;
  SoftRecords records(clock, SoftRecordSettings());
  records.Put(MakeRecord(5, 2));
  records.Put(MakeRecord(5, 1));
  BOOST_TEST(records.Find(5)->revision == 2U);
  records.Put(MakeRecord(5, 1, 9));
  BOOST_TEST(records.Find(5)->server == 9U);
  BOOST_TEST(records.Size() == 1U);
}

BOOST_AUTO_TEST_CASE(RecordExpiresAfterItsLifetime)
{
  VirtualClock clock;
  SoftRecords records(clock, SoftRecordSettings());
  records.Put(MakeRecord(5, 1));
  clock.Advance(Seconds(4));
  BOOST_TEST(records.Find(5)->expiresIn == 6000U);
  clock.Advance(Seconds(6));
  BOOST_TEST(!records.Find(5).has_value());
  BOOST_TEST(records.Size() == 0U);
}

BOOST_AUTO_TEST_CASE(FullStoreEvictsTheRecordThatExpiresFirst)
{
  VirtualClock clock;
  SoftRecordSettings settings;
  settings.maximumRecords = 10;
  SoftRecords records(clock, settings);
  for (std::uint64_t key = 0; key < 100; ++key) {
    records.Put(MakeRecord(key, 1));
    clock.Advance(Milliseconds(1));
  }
  BOOST_TEST(records.Size() == 10U);
  BOOST_TEST(records.Find(99).has_value());
  BOOST_TEST(!records.Find(0).has_value());
}

BOOST_AUTO_TEST_CASE(HolderIsInAnotherFailureDomainAndFoundByEveryDaemon)
{
  const auto peers = MakePeers(20);
  for (std::uint64_t key = 0; key < 200; ++key) {
    const Peer& server = peers[key % peers.size()];
    const std::uint64_t hash = CombineHashes(key, 3);
    const auto holder = SoftRecords::HolderFor(hash, server.info, Without(peers, server.key));
    BOOST_TEST_REQUIRE(holder.has_value());
    const auto found = std::find_if(peers.begin(), peers.end(),
                                    [&](const Peer& aPeer) { return aPeer.key == *holder; });
    BOOST_TEST(found->info.failureDomain != server.info.failureDomain);

    // Whichever daemon a caller reconnects to has the record or asks a daemon that has it, also after the serving
    // daemon has terminated
    for (const Peer& asker : peers) {
      const auto view = Without(Without(peers, asker.key), server.key);
      const auto candidates = SoftRecords::PossibleHolders(hash, "region", view, 3);
      const bool isAsked =
        std::find(candidates.begin(), candidates.end(), *holder) != candidates.end();
      BOOST_TEST((asker.key == *holder || isAsked));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
