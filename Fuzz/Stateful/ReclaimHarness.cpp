#include "Fuzz/Stateful/ReclaimHarness.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lagoonward::fuzz {

namespace {

constexpr int kDomains = 3;
constexpr double kLinkBytesPerSecond = 1e9;
constexpr double kBytesPerToken = 131'072;

} // namespace

ReclaimHarness::ReclaimHarness()
{
  for (int index = 0; index < 2 * kDomains; ++index) {
    this->AddHost(index % kDomains);
  }
}

void
ReclaimHarness::AddHost(int aDomain)
{
  Host host;
  host.domain = aDomain;
  host.target.endpoint = "h-" + std::to_string(this->nextName++);
  host.target.failureDomain = std::to_string(aDomain);
  host.target.importBytesPerSecond = kLinkBytesPerSecond;
  this->hosts.push_back(host);
}

const ReclaimHarness::Host*
ReclaimHarness::Find(const std::string& aEndpoint) const
{
  const auto found = std::find_if(this->hosts.begin(), this->hosts.end(), [&](const Host& aHost) {
    return aHost.target.endpoint == aEndpoint;
  });
  return found == this->hosts.end() ? nullptr : &*found;
}

ReclaimHarness::Host*
ReclaimHarness::Find(const std::string& aEndpoint)
{
  return const_cast<Host*>(std::as_const(*this).Find(aEndpoint));
}

int
ReclaimHarness::RunningStreams(const std::string& aEndpoint) const
{
  const auto count =
    std::count_if(this->streams.begin(), this->streams.end(),
                  [&](const StreamView& aStream) { return aStream.endpoint == aEndpoint; });
  return static_cast<int>(count);
}

void
ReclaimHarness::AddStream(const Operation& aOperation)
{
  const Host& host = this->hosts[aOperation.argument % this->hosts.size()];
  if (host.target.leaving || this->RunningStreams(host.target.endpoint) >= kSlots) {
    return;
  }
  StreamView stream;
  stream.id = "s-" + std::to_string(this->nextName++);
  stream.endpoint = host.target.endpoint;
  stream.availableUntil = TimePoint::max();
  stream.promptTokens = 100 + 500 * aOperation.argument;
  stream.expectedRemaining = 20 + 60.0 * aOperation.argument;
  stream.deadline = this->clock.Now() + std::chrono::minutes(5);
  stream.kvBytes = static_cast<std::int64_t>(stream.promptTokens * kBytesPerToken);
  stream.exportBytesPerSecond = aOperation.actor == 0 ? 0 : kLinkBytesPerSecond;
  this->streams.push_back(stream);
}

void
ReclaimHarness::GiveNotice(Host& aHost, Milliseconds aGrace)
{
  aHost.target.leaving = true;
  aHost.availableUntil = std::min(aHost.availableUntil, this->clock.Now() + aGrace);
}

void
ReclaimHarness::Advance(Milliseconds aSpan)
{
  this->clock.Advance(aSpan);
  for (StreamView& stream : this->streams) {
    const Host* host = this->Find(stream.endpoint);
    if (host != nullptr && host->availableUntil > this->clock.Now()) {
      const double seconds = std::chrono::duration<double>(aSpan).count();
      const double generated = std::min(stream.expectedRemaining, seconds * stream.tokensPerSecond);
      stream.generatedTokens += static_cast<int>(generated);
      stream.expectedRemaining -= generated;
    }
  }
  std::erase_if(this->streams,
                [](const StreamView& aStream) { return aStream.expectedRemaining <= 0; });
}

std::vector<MoveTarget>
ReclaimHarness::Targets() const
{
  std::vector<MoveTarget> targets;
  for (const Host& host : this->hosts) {
    MoveTarget target = host.target;
    target.freeSlots = kSlots - this->RunningStreams(target.endpoint);
    target.domainLeaving =
      std::all_of(this->hosts.begin(), this->hosts.end(), [&](const Host& aOther) {
        return aOther.domain != host.domain || aOther.target.leaving;
      });
    targets.push_back(target);
  }
  return targets;
}

std::vector<StreamView>
ReclaimHarness::LeavingStreams() const
{
  std::vector<StreamView> leaving;
  for (const StreamView& stream : this->streams) {
    const Host* host = this->Find(stream.endpoint);
    if (host != nullptr && !host->target.leaving) {
      continue;
    }
    StreamView view = stream;
    view.availableUntil = host == nullptr ? this->clock.Now() : host->availableUntil;
    for (const Host& other : this->hosts) {
      view.candidates.push_back({ other.target.endpoint, 0 });
    }
    leaving.push_back(view);
  }
  return leaving;
}

void
ReclaimHarness::CheckPlan(const StreamView& aStream, const MovePlan& aPlan) const
{
  RC_ASSERT(aPlan.stream == aStream.id);
  const bool moves = aPlan.kind == MoveKind::ExportImport || aPlan.kind == MoveKind::Reprefill;
  RC_ASSERT(moves == !aPlan.target.empty());
  if (!moves) {
    // A terminated host cannot finish its streams
    RC_ASSERT(aPlan.kind != MoveKind::FinishInPlace || aStream.availableUntil > this->clock.Now());
    return;
  }
  const Host* target = this->Find(aPlan.target);
  RC_ASSERT(target != nullptr && !target->target.leaving);
  RC_ASSERT(aPlan.target != aStream.endpoint);
  if (aPlan.kind == MoveKind::ExportImport) {
    RC_ASSERT(aPlan.readyAt <= aStream.availableUntil);
    RC_ASSERT(aStream.exportBytesPerSecond > 0);
  } else if (aStream.availableUntil > this->clock.Now()) {
    RC_ASSERT(aPlan.startAt <= std::max(this->clock.Now(), aStream.availableUntil));
  }
}

std::vector<MovePlan>
ReclaimHarness::Plan()
{
  const ManifestObjective objective{ 0.3, 0.7 };
  const auto targets = this->Targets();
  auto views = this->LeavingStreams();
  auto plans = this->planner.PlanMoves(views, targets, objective, this->clock.Now());
  RC_ASSERT(plans.size() == views.size());

  // No target may get more streams than it has free slots
  std::map<std::string, int> planned;
  bool full = true;
  for (std::size_t index = 0; index < plans.size(); ++index) {
    this->CheckPlan(views[index], plans[index]);
    ++planned[plans[index].target];
  }
  for (const MoveTarget& target : targets) {
    RC_ASSERT(planned[target.endpoint] <= std::max(0, target.freeSlots));
    const bool usable = !target.leaving && !target.domainLeaving;
    full = full && (!usable || planned[target.endpoint] >= target.freeSlots);
  }
  const auto unplaced = std::any_of(plans.begin(), plans.end(), [](const MovePlan& aPlan) {
    return aPlan.kind == MoveKind::Unplaced;
  });
  RC_ASSERT(!unplaced || full);

  // The plan must not depend on the order of the input
  std::reverse(views.begin(), views.end());
  auto again = this->planner.PlanMoves(views, targets, objective, this->clock.Now());
  std::reverse(again.begin(), again.end());
  for (std::size_t index = 0; index < plans.size(); ++index) {
    RC_ASSERT(again[index].target == plans[index].target);
    RC_ASSERT(again[index].startAt == plans[index].startAt);
  }
  return plans;
}

/// Executes the moves that are due: an export starts, and its stream moves once the import is ready; a re-prefill
/// moves its stream immediately.
void
ReclaimHarness::ExecuteMoves(const std::vector<MovePlan>& aPlans)
{
  for (const MovePlan& plan : aPlans) {
    const auto stream =
      std::find_if(this->streams.begin(), this->streams.end(),
                   [&](const StreamView& aStream) { return aStream.id == plan.stream; });
    if (plan.target.empty() || plan.startAt > this->clock.Now()) {
      continue;
    }
    if (plan.kind == MoveKind::ExportImport && !stream->inProgress) {
      stream->inProgress =
        MoveInProgress{ plan.kind, plan.target, this->clock.Now(), plan.readyAt };
    } else if (plan.kind == MoveKind::Reprefill || plan.readyAt <= this->clock.Now()) {
      stream->endpoint = plan.target;
      stream->inProgress.reset();
    }
  }
}

void
ReclaimHarness::Run(const Operation& aOperation)
{
  switch (aOperation.kind) {
    case 0:
      this->AddStream(aOperation);
      break;
    case 1:
      this->GiveNotice(this->hosts[aOperation.argument % this->hosts.size()],
                       Milliseconds(1'000 * (aOperation.actor + 1) * 10));
      break;
    case 2:
      for (Host& host : this->hosts) {
        if (host.domain == aOperation.actor) {
          this->GiveNotice(host, Milliseconds(500 * aOperation.argument));
        }
      }
      break;
    case 3:
      this->GiveNotice(this->hosts[aOperation.argument % this->hosts.size()], Milliseconds(0));
      break;
    case 4:
      this->AddHost(aOperation.actor);
      break;
    case 5:
      this->Advance(Milliseconds(100 * aOperation.argument));
      break;
    case 6:
      this->ExecuteMoves(this->Plan());
      break;
    default:
      // The planner's daemon crashes: moves in progress are lost, the streams' tokens are preserved
      static_cast<void>(this->Plan());
      for (StreamView& stream : this->streams) {
        stream.inProgress.reset();
      }
      break;
  }
}

void
ReclaimHarness::Finish()
{
  // New hosts join and no more hosts leave: every stream must end
  for (std::size_t index = 0; index <= this->streams.size() / kSlots + 1; ++index) {
    this->AddHost(static_cast<int>(index % kDomains));
    this->AddHost(static_cast<int>((index + 1) % kDomains));
  }
  constexpr int kRounds = 600;
  for (int round = 0; round < kRounds && !this->streams.empty(); ++round) {
    this->ExecuteMoves(this->Plan());
    this->Advance(Milliseconds(500));
  }
  RC_ASSERT(this->streams.empty());
}

} // namespace lagoonward::fuzz
