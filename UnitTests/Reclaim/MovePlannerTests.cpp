#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Reclaim/MovePlanner.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace lagoonward;

namespace {

constexpr Seconds kGrace{ 30 };

struct Fixture
{
  VirtualClock clock;
  ManifestObjective objective{ 0.2, 0.8 };
  std::vector<StreamView> streams;
  std::vector<MoveTarget> targets;

  StreamView& AddStream(const std::string& aId, double aRemaining)
  {
    StreamView stream;
    stream.id = aId;
    stream.endpoint = "old";
    stream.availableUntil = this->clock.Now() + kGrace;
    stream.promptTokens = 8'000;
    stream.generatedTokens = 200;
    stream.expectedRemaining = aRemaining;
    stream.deadline = this->clock.Now() + std::chrono::minutes(10);
    for (const MoveTarget& target : this->targets) {
      stream.candidates.push_back({ target.endpoint, 0 });
    }
    this->streams.push_back(stream);
    return this->streams.back();
  }

  void AddTarget(const std::string& aId)
  {
    MoveTarget target;
    target.endpoint = aId;
    target.failureDomain = "zone-" + aId;
    target.freeSlots = 100;
    target.importBytesPerSecond = 1e9;
    this->targets.push_back(target);
  }

  [[nodiscard]] std::vector<MovePlan> Plan(const ReclaimSettings& aSettings = {}) const
  {
    const MovePlanner planner(aSettings);
    return planner.PlanMoves(this->streams, this->targets, this->objective, this->clock.Now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MovePlannerTests, Fixture)

BOOST_AUTO_TEST_CASE(StreamWithFewTokensLeftFinishesInPlace)
{
  AddTarget("a");
  AddStream("s", 300);
  BOOST_TEST((Plan()[0].kind == MoveKind::FinishInPlace));
}

BOOST_AUTO_TEST_CASE(LongPrefixIsExportedIfTransferEndsInTime)
{
  AddTarget("a");
  StreamView& stream = AddStream("s", 5'000);
  stream.kvBytes = 2'000'000'000;
  stream.exportBytesPerSecond = 1e9;
  const MovePlan plan = Plan()[0];
  BOOST_TEST((plan.kind == MoveKind::ExportImport));
  BOOST_TEST(plan.recomputedTokens < 100);
  BOOST_TEST((plan.readyAt <= stream.availableUntil));
}

BOOST_AUTO_TEST_CASE(StreamIsReprefilledIfExportCannotEndInTime)
{
  AddTarget("a");
  StreamView& stream = AddStream("s", 5'000);
  stream.kvBytes = 40'000'000'000;
  stream.exportBytesPerSecond = 1e9;
  const MovePlan plan = Plan()[0];
  BOOST_TEST((plan.kind == MoveKind::Reprefill));
  BOOST_TEST((plan.startAt <= stream.availableUntil - ReclaimSettings().safetyMargin));
  BOOST_TEST((plan.startAt > this->clock.Now()));
}

BOOST_AUTO_TEST_CASE(TargetWithCachedPrefixIsPreferred)
{
  AddTarget("a");
  AddTarget("b");
  AddStream("s", 5'000).candidates[1].cachedTokens = 7'900;
  BOOST_TEST(Plan()[0].target == "b");
}

BOOST_AUTO_TEST_CASE(LeavingEndpointsAndDomainsAreNotTargets)
{
  AddTarget("a");
  AddTarget("b");
  AddStream("s", 5'000).candidates[0].cachedTokens = 8'000;
  this->targets[0].domainLeaving = true;
  this->targets[1].leaving = true;
  BOOST_TEST((Plan()[0].kind == MoveKind::Unplaced));
  this->targets[1].leaving = false;
  BOOST_TEST(Plan()[0].target == "b");
}

BOOST_AUTO_TEST_CASE(StreamsAreDistributedOverTargets)
{
  for (const char* id : { "a", "b", "c", "d" }) {
    AddTarget(id);
  }
  for (int index = 0; index < 24; ++index) {
    AddStream("s" + std::to_string(index), 5'000);
  }
  std::map<std::string, int> moves;
  for (const MovePlan& plan : Plan()) {
    ++moves[plan.target];
  }
  for (const auto& [target, count] : moves) {
    BOOST_TEST(count <= 9, target << " got " << count);
  }
}

BOOST_AUTO_TEST_CASE(StreamsBeyondFreeSlotsAreUnplaced)
{
  AddTarget("a");
  this->targets[0].freeSlots = 1;
  AddStream("s", 5'000);
  AddStream("t", 5'000);
  const auto plans = Plan();
  BOOST_TEST((plans[0].kind == MoveKind::Unplaced) != (plans[1].kind == MoveKind::Unplaced));
}

BOOST_AUTO_TEST_CASE(StartedMoveIsKeptUntilItsTargetLeaves)
{
  AddTarget("a");
  AddTarget("b");
  StreamView& stream = AddStream("s", 5'000);
  stream.candidates[1].cachedTokens = 8'000;
  const TimePoint now = this->clock.Now();
  stream.inProgress = { MoveKind::ExportImport, "a", now, now + Seconds(2) };
  BOOST_TEST(Plan()[0].target == "a");
  this->targets[0].domainLeaving = true;
  BOOST_TEST(Plan()[0].target == "b");
}

BOOST_AUTO_TEST_CASE(StreamOfTerminatedEndpointIsReprefilledImmediately)
{
  AddTarget("a");
  StreamView& stream = AddStream("s", 5'000);
  stream.availableUntil = this->clock.Now() - Seconds(1);
  stream.kvBytes = 1'000;
  stream.exportBytesPerSecond = 1e9;
  const MovePlan plan = Plan()[0];
  BOOST_TEST((plan.kind == MoveKind::Reprefill));
  BOOST_TEST((plan.startAt == this->clock.Now()));
}

BOOST_AUTO_TEST_CASE(HandoversToOneTargetAreSpacedByPrefillTime)
{
  AddTarget("a");
  for (int index = 0; index < 6; ++index) {
    AddStream("s" + std::to_string(index), 5'000);
  }
  std::vector<TimePoint> handovers;
  for (const MovePlan& plan : Plan()) {
    handovers.push_back(plan.startAt);
  }
  std::sort(handovers.begin(), handovers.end());
  for (std::size_t index = 1; index < handovers.size(); ++index) {
    BOOST_TEST((handovers[index] - handovers[index - 1] >= Seconds(1)));
  }
}

BOOST_AUTO_TEST_CASE(PlanDoesNotDependOnStreamOrder)
{
  AddTarget("a");
  AddTarget("b");
  AddStream("s", 5'000);
  AddStream("t", 6'000);
  const auto first = Plan();
  std::swap(this->streams[0], this->streams[1]);
  const auto second = Plan();
  BOOST_TEST(first[0].target == second[1].target);
  BOOST_TEST((first[0].startAt == second[1].startAt));
}

BOOST_AUTO_TEST_SUITE_END()
