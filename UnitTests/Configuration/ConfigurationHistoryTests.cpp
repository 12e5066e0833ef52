#include "Lagoonward/Configuration/ConfigurationHistory.h"
#include "UnitTests/Support/SampleManifest.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace lagoonward;
using lagoonward::testing::SampleManifest;
using Kind = ConfigurationEvent::Kind;

namespace {

constexpr std::string_view kMarket = "vestland";

std::string
ManifestRecord(Offset aBase, std::uint64_t aSequence = 0)
{
  ConfigurationRecord record;
  record.base = aBase;
  record.manifest = SampleManifest(kMarket);
  record.publisher = { "p", aSequence };
  return WriteConfigurationRecord(record);
}

/// Reads a range of an in-memory log into a history and collects the events.
class Reader
{
public:
  /// Reads up to aEnd; aStart is the oldest retained offset.
  void ReadUpTo(const std::vector<std::string>& aLog, Offset aStart, Offset aEnd)
  {
    this->Collect(this->history.ObserveStart(aStart));
    while (this->history.NextOffset() < aEnd) {
      const Offset offset = this->history.NextOffset();
      this->Collect(this->history.Apply(offset, aLog[static_cast<std::size_t>(offset)]));
    }
  }

  void Collect(ConfigurationHistory::Events aEvents)
  {
    BOOST_TEST(this->history.OffsetInForce() >= this->highest);
    this->highest = this->history.OffsetInForce();
    this->events.insert(this->events.end(), aEvents.begin(), aEvents.end());
  }

  [[nodiscard]] bool HasEvent(Kind aKind) const
  {
    return std::any_of(this->events.begin(), this->events.end(),
                       [&](const auto& aEvent) { return aEvent.kind == aKind; });
  }

  ConfigurationHistory history{ std::string(kMarket) };
  ConfigurationHistory::Events events;
  Offset highest = kNoOffset;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationHistoryTests)

BOOST_AUTO_TEST_CASE(OnlyFirstRecordOfABaseIsAccepted)
{
  const std::vector<std::string> log{ ManifestRecord(kNoOffset), ManifestRecord(0),
                                      ManifestRecord(0), ManifestRecord(kNoOffset) };
  Reader reader;
  reader.ReadUpTo(log, 0, 4);
  BOOST_TEST(reader.history.OffsetInForce() == 1);
  BOOST_TEST((reader.events[2].kind == Kind::LostRace));
  BOOST_TEST((reader.events[3].kind == Kind::LostRace));
}

BOOST_AUTO_TEST_CASE(InvalidRecordsAreSkippedWithTheirFaults)
{
  Reader reader;
  auto other = SampleManifest("norte");
  ConfigurationRecord foreign;
  foreign.manifest = other;
  foreign.publisher = { "p", 1 };
  reader.ReadUpTo({ "not json", WriteConfigurationRecord(foreign), ManifestRecord(kNoOffset) }, 0,
                  3);
  BOOST_TEST((reader.events[0].kind == Kind::SkippedInvalid));
  BOOST_TEST(reader.events[1].detail == "/manifest/market: not the market of this stream");
  BOOST_TEST(reader.history.OffsetInForce() == 2);
}

BOOST_AUTO_TEST_CASE(LastConfigurationStaysInForceDuringAGap)
{
  const std::vector<std::string> log{ ManifestRecord(kNoOffset), ManifestRecord(0),
                                      ManifestRecord(1), ManifestRecord(0) };
  Reader paused;
  paused.ReadUpTo(log, 0, 1);
  paused.ReadUpTo(log, 3, 4);
  BOOST_TEST(paused.HasEvent(Kind::GapFound));
  BOOST_TEST(!paused.history.IsCertain());
  BOOST_TEST(paused.history.OffsetInForce() == 0);
}

BOOST_AUTO_TEST_CASE(CheckpointClosesGapIfItCoversExpiredRecords)
{
  std::vector<std::string> log{ ManifestRecord(kNoOffset), ManifestRecord(0) };
  Reader writer;
  writer.ReadUpTo(log, 0, 2);

  // The checkpoint is appended after a record that it does not cover
  const auto checkpoint = WriteConfigurationRecord(writer.history.MakeCheckpoint({ "d", 1 }));
  log.push_back(ManifestRecord(1));
  log.push_back(checkpoint);
  log.push_back(ManifestRecord(1));
  writer.ReadUpTo(log, 0, 5);
  BOOST_TEST(writer.history.OffsetInForce() == 2);
  BOOST_TEST(writer.history.NewestCheckpoint() == 2);
  Reader cold;
  cold.ReadUpTo(log, 2, 5);
  BOOST_TEST(cold.HasEvent(Kind::GapClosed));
  BOOST_TEST(cold.history.OffsetInForce() == 2);

  // One record later the checkpoint does not cover the gap any more
  Reader later;
  later.ReadUpTo(log, 3, 5);
  BOOST_TEST(!later.history.IsCertain());
  BOOST_TEST((later.history.InForce() == nullptr));
}

BOOST_AUTO_TEST_CASE(OlderPeerStateIsRefused)
{
  const std::vector<std::string> log{ ManifestRecord(kNoOffset), ManifestRecord(0) };
  Reader old;
  old.ReadUpTo(log, 0, 1);
  Reader current;
  current.ReadUpTo(log, 0, 2);
  current.Collect(current.history.AdoptFromPeer(old.history.Offer()));
  BOOST_TEST(current.HasEvent(Kind::PeerRefused));
  BOOST_TEST(current.history.OffsetInForce() == 1);

  // A new daemon that cannot read the log adopts the offset too, and continues from there
  Reader cold;
  cold.Collect(cold.history.AdoptFromPeer(current.history.Offer()));
  BOOST_TEST(cold.history.OffsetInForce() == 1);
  BOOST_TEST(cold.history.NextOffset() == 2);
  cold.Collect(cold.history.AdoptFromPeer(old.history.Offer()));
  BOOST_TEST(cold.history.OffsetInForce() == 1);
}

BOOST_AUTO_TEST_CASE(ContradictoryCheckpointIsIgnored)
{
  Reader reader;
  reader.ReadUpTo({ ManifestRecord(kNoOffset) }, 0, 1);
  auto contradictory = reader.history.MakeCheckpoint({ "d", 1 });
  contradictory.of = kNoOffset;
  contradictory.manifest.reset();
  reader.Collect(reader.history.Apply(1, WriteConfigurationRecord(contradictory)));
  BOOST_TEST(reader.HasEvent(Kind::CheckpointDisagrees));
  BOOST_TEST(reader.history.OffsetInForce() == 0);
}

BOOST_AUTO_TEST_CASE(CertainReadersAgreeForAllStartOffsets)
{
  int closedGaps = 0;
  for (unsigned seed = 0; seed < 40; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&](int aBound) { return static_cast<int>(random() % aBound); };
    std::vector<std::string> log;
    std::vector<ConfigurationHistory> states{ ConfigurationHistory(std::string(kMarket)) };

    // Concurrent publishers use one of the last states as base; checkpoints are delayed
    for (int step = 0; step < 24; ++step) {
      const auto lag = static_cast<std::size_t>(draw(5));
      const auto& stale = states[states.size() - 1 - std::min(lag, states.size() - 1)];
      log.push_back(draw(3) == 0 ? WriteConfigurationRecord(stale.MakeCheckpoint({ "d", 1 }))
                                 : ManifestRecord(stale.OffsetInForce()));
      states.push_back(states.back());
      BOOST_TEST(!states.back().Apply(step, log.back()).empty());
    }
    const Offset expected = states.back().OffsetInForce();
    const auto end = static_cast<Offset>(log.size());

    // A reader that starts late, and one that pauses while records expire
    for (Offset start = 0; start < end; ++start) {
      Reader cold;
      cold.ReadUpTo(log, start, end);
      Reader paused;
      paused.ReadUpTo(log, 0, draw(static_cast<int>(start) + 1));
      paused.ReadUpTo(log, start, end);
      closedGaps += cold.HasEvent(Kind::GapClosed) ? 1 : 0;
      BOOST_TEST((!cold.history.IsCertain() || cold.history.OffsetInForce() == expected));
      BOOST_TEST((!paused.history.IsCertain() || paused.history.OffsetInForce() == expected));
      BOOST_TEST(paused.history.OffsetInForce() <= expected);
    }
  }
  BOOST_TEST(closedGaps > 200);
}

BOOST_AUTO_TEST_SUITE_END()
