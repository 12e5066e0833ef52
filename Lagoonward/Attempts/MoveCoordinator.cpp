#include "Lagoonward/Attempts/MoveCoordinator.h"

#include <algorithm>
#include <map>

namespace lagoonward {

namespace {

/// Whether an engine reports exactly the model, adapter and versions that a call requests.
bool
Serves(const Endpoint& aEndpoint, const EngineCall& aCall)
{
  if (!aEndpoint.load) {
    return false;
  }
  for (const LoadedModel& model : aEndpoint.load->models) {
    if (model.name != aCall.model || model.version != aCall.version) {
      continue;
    }
    if (aCall.adapter.empty()) {
      return true;
    }
    const auto matches = [&](const LoadedAdapter& aAdapter) {
      return aAdapter.name == aCall.adapter && aAdapter.version == aCall.adapterVersion;
    };
    if (std::any_of(model.adapters.begin(), model.adapters.end(), matches)) {
      return true;
    }
  }
  return false;
}

} // namespace

MoveCoordinator::MoveCoordinator(const MoveCoordinatorSettings& aSettings)
  : settings(aSettings)
  , planner(aSettings.planner)
{
}

void
MoveCoordinator::PlanAll(std::span<const MovableRun> aRuns, const FleetSnapshot& aFleet,
                         TimePoint aNow) const
{
  // Group the streams on leaving endpoints by market, because each market has its own objective
  std::map<Market*, std::vector<MovableRun>> byMarket;
  for (const MovableRun& run : aRuns) {
    const Endpoint* source = aFleet.Find(run.run->EndpointId());
    if (source != nullptr && source->state == EndpointState::Leaving) {
      byMarket[run.market].push_back(run);
    }
  }
  if (byMarket.empty()) {
    return;
  }
  const std::vector<MoveTarget> targets = this->DescribeTargets(aFleet);
  for (const auto& [market, runs] : byMarket) {
    std::vector<StreamView> streams;
    for (const MovableRun& run : runs) {
      const Endpoint* source = aFleet.Find(run.run->EndpointId());
      streams.push_back(this->DescribeStream(run, *source, aFleet, aNow));
    }
    const ManifestObjective objective = market->ConfigurationInForce()->manifest.objective;
    const auto plans = this->planner.PlanMoves(streams, targets, objective, aNow);
    for (std::size_t index = 0; index < plans.size(); ++index) {
      runs[index].run->ApplyPlan(plans[index]);
    }
  }
}

bool
MoveCoordinator::IsAnyEndpointLeaving(const FleetSnapshot& aFleet)
{
  return std::any_of(
    aFleet.endpoints.begin(), aFleet.endpoints.end(),
    [](const Endpoint& aEndpoint) { return aEndpoint.state == EndpointState::Leaving; });
}

std::vector<MoveTarget>
MoveCoordinator::DescribeTargets(const FleetSnapshot& aFleet) const
{
  std::vector<MoveTarget> targets;
  for (const Endpoint& endpoint : aFleet.endpoints) {
    if (endpoint.kind != EndpointKind::Engine) {
      continue;
    }
    MoveTarget target;
    target.endpoint = endpoint.id;
    target.failureDomain = endpoint.failureDomain;
    target.leaving = endpoint.state != EndpointState::Live;
    target.domainLeaving = this->IsDomainLeaving(aFleet, endpoint.failureDomain);
    const int usedSlots = endpoint.load ? endpoint.load->running + endpoint.load->waiting : 0;
    target.freeSlots = std::max(0, this->settings.batchLimit - usedSlots);
    target.tokensPerSecond = this->settings.tokensPerSecond;
    target.prefillTokensPerSecond = this->settings.prefillTokensPerSecond;
    target.importBytesPerSecond = this->settings.kvBytesPerSecond;
    target.pricePerHour = endpoint.pricePerHour;
    target.reclaimChance = endpoint.reclaimable ? this->settings.reclaimChance : 0;
    targets.push_back(std::move(target));
  }
  return targets;
}

StreamView
MoveCoordinator::DescribeStream(const MovableRun& aRun, const Endpoint& aSource,
                                const FleetSnapshot& aFleet, TimePoint aNow) const
{
  const CompletionCall& call = aRun.run->Call();
  const int generated = static_cast<int>(aRun.run->GetAnswer().TokenCount());
  StreamView view;
  view.id = call.terms.requestId;
  view.endpoint = aSource.id;
  view.availableUntil = aSource.availableUntil.value_or(aNow + this->settings.planner.defaultGrace);
  view.promptTokens = call.promptTokens;
  view.generatedTokens = generated;
  // Most answers reach their token limit; one that ends earlier only makes the move unnecessary
  view.expectedRemaining = std::max(0, call.engine.maxTokens - generated);
  const double measured = aRun.run->TokensPerSecond();
  view.tokensPerSecond = measured > 0 ? measured : this->settings.tokensPerSecond;
  view.deadline = call.terms.deadline;
  if (aRun.run->CanExport()) {
    view.kvBytes = this->settings.kvBytesPerToken * (call.promptTokens + generated);
    view.exportBytesPerSecond = this->settings.kvBytesPerSecond;
  }
  for (const Endpoint& endpoint : aFleet.endpoints) {
    if (endpoint.state == EndpointState::Live && Serves(endpoint, call.engine)) {
      view.candidates.push_back(
        { endpoint.id, aRun.market->router.CachedTokens(endpoint.id, call.prefixBlocks) });
    }
  }
  view.inProgress = aRun.run->Move();
  return view;
}

bool
MoveCoordinator::IsDomainLeaving(const FleetSnapshot& aFleet, std::string_view aDomain) const
{
  int hosts = 0;
  int leaving = 0;
  for (const Endpoint& endpoint : aFleet.endpoints) {
    if (endpoint.failureDomain == aDomain) {
      ++hosts;
      leaving += endpoint.state == EndpointState::Leaving ? 1 : 0;
    }
  }
  return leaving >= this->settings.planner.domainLeavingMinHosts &&
         leaving >= this->settings.planner.domainLeavingRatio * hosts;
}

} // namespace lagoonward
