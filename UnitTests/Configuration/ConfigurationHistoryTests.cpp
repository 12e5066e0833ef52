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

/// A reader over a slice of a log that is kept in memory.
class Reader
{
public:
  /// Reads from the oldest record kept up to aEnd.
  void ReadUpTo(const std::vector<std::string>& aLog, Offset aStart, Offset aEnd)
  {
    this->Note(this->history.ObserveStart(aStart));
    while (this->history.NextOffset() < aEnd) {
      const Offset offset = this->history.NextOffset();
      this->Note(this->history.Apply(offset, aLog[static_cast<std::size_t>(offset)]));
    }
  }

  void Note(ConfigurationHistory::Events aEvents)
  {
    BOOST_TEST(this->history.OffsetInForce() >= this->highest);
    this->highest = this->history.OffsetInForce();
    this->events.insert(this->events.end(), aEvents.begin(), aEvents.end());
  }

  [[nodiscard]] bool Saw(Kind aKind) const
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

BOOST_AUTO_TEST_CASE(RacingPublishersHaveOneWinner)
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

BOOST_AUTO_TEST_CASE(GapKeepsTheLastAndNeverGuesses)
{
  const std::vector<std::string> log{ ManifestRecord(kNoOffset), ManifestRecord(0),
                                      ManifestRecord(1), ManifestRecord(0) };
  Reader paused;
  paused.ReadUpTo(log, 0, 1);
  paused.ReadUpTo(log, 3, 4);
  BOOST_TEST(paused.Saw(Kind::GapFound));
  BOOST_TEST(!paused.history.IsCertain());
  BOOST_TEST(paused.history.OffsetInForce() == 0);
}

BOOST_AUTO_TEST_CASE(CheckpointOutlivesRetention)
{
  std::vector<std::string> log{ ManifestRecord(kNoOffset), ManifestRecord(0) };
  Reader writer;
  writer.ReadUpTo(log, 0, 2);

  // The checkpoint is delayed behind a record that it does not know of
  const auto checkpoint = WriteConfigurationRecord(writer.history.MakeCheckpoint({ "d", 1 }));
  log.push_back(ManifestRecord(1));
  log.push_back(checkpoint);
  log.push_back(ManifestRecord(1));
  writer.ReadUpTo(log, 0, 5);
  BOOST_TEST(writer.history.OffsetInForce() == 2);
  BOOST_TEST(writer.history.NewestCheckpoint() == 2);
  Reader cold;
  cold.ReadUpTo(log, 2, 5);
  BOOST_TEST(cold.Saw(Kind::GapClosed));
  BOOST_TEST(cold.history.OffsetInForce() == 2);

  // One record later the checkpoint no longer covers the hole
  Reader later;
  later.ReadUpTo(log, 3, 5);
  BOOST_TEST(!later.history.IsCertain());
  BOOST_TEST((later.history.InForce() == nullptr));
}

BOOST_AUTO_TEST_CASE(PeerWithOlderStateChangesNothing)
{
  const std::vector<std::string> log{ ManifestRecord(kNoOffset), ManifestRecord(0) };
  Reader old;
  old.ReadUpTo(log, 0, 1);
  Reader current;
  current.ReadUpTo(log, 0, 2);
  current.Note(current.history.AdoptFromPeer(old.history.Offer()));
  BOOST_TEST(current.Saw(Kind::PeerRefused));
  BOOST_TEST(current.history.OffsetInForce() == 1);

  // A new daemon without a log takes the offset too, and goes on from there
  Reader cold;
  cold.Note(cold.history.AdoptFromPeer(current.history.Offer()));
  BOOST_TEST(cold.history.OffsetInForce() == 1);
  BOOST_TEST(cold.history.NextOffset() == 2);
  cold.Note(cold.history.AdoptFromPeer(old.history.Offer()));
  BOOST_TEST(cold.history.OffsetInForce() == 1);
}

BOOST_AUTO_TEST_CASE(LyingCheckpointIsIgnored)
{
  Reader reader;
  reader.ReadUpTo({ ManifestRecord(kNoOffset) }, 0, 1);
  auto lie = reader.history.MakeCheckpoint({ "d", 1 });
  lie.of = kNoOffset;
  lie.manifest.reset();
  reader.Note(reader.history.Apply(1, WriteConfigurationRecord(lie)));
  BOOST_TEST(reader.Saw(Kind::CheckpointDisagrees));
  BOOST_TEST(reader.history.OffsetInForce() == 0);
}

BOOST_AUTO_TEST_CASE(EveryCertainReaderAgreesWhereverItBegan)
{
  int closedGaps = 0;
  for (unsigned seed = 0; seed < 40; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&](int aBound) { return static_cast<int>(random() % aBound); };
    std::vector<std::string> log;
    std::vector<ConfigurationHistory> states{ ConfigurationHistory(std::string(kMarket)) };

    // Racing publishers build on one of the last states; checkpoints land late
    for (int step = 0; step < 24; ++step) {
      const auto lag = static_cast<std::size_t>(draw(5));
      const auto& seen = states[states.size() - 1 - std::min(lag, states.size() - 1)];
      log.push_back(draw(3) == 0 ? WriteConfigurationRecord(seen.MakeCheckpoint({ "d", 1 }))
                                 : ManifestRecord(seen.OffsetInForce()));
      states.push_back(states.back());
      BOOST_TEST(!states.back().Apply(step, log.back()).empty());
    }
    const Offset expected = states.back().OffsetInForce();
    const auto end = static_cast<Offset>(log.size());

    // A reader that begins late, and one that pauses over a hole
    for (Offset start = 0; start < end; ++start) {
      Reader cold;
      cold.ReadUpTo(log, start, end);
      Reader paused;
      paused.ReadUpTo(log, 0, draw(static_cast<int>(start) + 1));
      paused.ReadUpTo(log, start, end);
      closedGaps += cold.Saw(Kind::GapClosed) ? 1 : 0;
      BOOST_TEST((!cold.history.IsCertain() || cold.history.OffsetInForce() == expected));
      BOOST_TEST((!paused.history.IsCertain() || paused.history.OffsetInForce() == expected));
      BOOST_TEST(paused.history.OffsetInForce() <= expected);
    }
  }
  BOOST_TEST(closedGaps > 200);
}

BOOST_AUTO_TEST_SUITE_END()
