#include "Bench/Decisions/LagoonwardPolicy.h"

#include "Lagoonward/Core/Hash.h"

namespace lagoonward::bench {

LagoonwardPolicy::LagoonwardPolicy(const Deployment& aDeployment, const Tuning& aTuning,
                                   const Clock& aClock, std::uint64_t aSeed, std::size_t aRequests)
  : deployment(aDeployment)
  , objective(aDeployment.manifest.objective)

  , running(aRequests)
{
  if (aTuning.costWeight) {
    this->objective = { *aTuning.costWeight, 1 - *aTuning.costWeight };
  }
  for (int index = 0; index < aDeployment.daemons; ++index) {
    const auto seed = CombineHashes(aSeed, static_cast<std::uint64_t>(index));
    Daemon daemon;
    daemon.router = std::make_unique<Router>(aTuning.routing, aClock, seed);
    daemon.router->SetLiveDaemons(aDeployment.daemons);
    daemon.admission = std::make_unique<Admission>(aTuning.admission, aClock, seed);
    daemon.admission->Configure(aDeployment.manifest);
    daemon.retries = std::make_unique<RetryBudget>(aTuning.retries, aClock);
    daemon.retries->SetLiveDaemons(aDeployment.daemons);
    this->daemons.push_back(std::move(daemon));
  }
}

void
LagoonwardPolicy::OnView(const FleetView& aView)
{
  this->view = aView;
  for (Daemon& daemon : this->daemons) {
    daemon.router->Update(aView.table);
  }
}

RouteRequest
LagoonwardPolicy::ToRouteRequest(const PlacementRequest& aPlacementRequest) const
{
  const WorkItem& item = *aPlacementRequest.item;
  const ManifestClass& requestClass = this->deployment.manifest.classes[item.classIndex];
  RouteRequest request;
  request.service = item.service;
  if (item.service.empty()) {
    request.model = this->deployment.manifest.models.front().name;
    request.firstToken =
      aPlacementRequest.relayedTokens == 0 ? requestClass.firstToken : Milliseconds::zero();
    request.betweenTokens = requestClass.betweenTokens;
  }
  request.priority = requestClass.priority;
  request.promptTokens =
    aPlacementRequest.imported ? 0 : item.promptTokens + aPlacementRequest.relayedTokens;
  request.expectedOutputTokens = std::max(item.expectedOutput - aPlacementRequest.relayedTokens, 1);
  request.prefixBlocks = item.blocks;
  request.objective = this->objective;

  // Accepted requests are continued even if they will miss their deadline
  if (aPlacementRequest.attempt == 0) {
    request.deadline = aPlacementRequest.deadline;
  }
  return request;
}

Result<void>
LagoonwardPolicy::Admit(const PlacementRequest& aPlacementRequest)
{
  Running& entry = this->running[aPlacementRequest.request];
  entry.daemon = aPlacementRequest.item->daemon;
  const Daemon& daemon = this->daemons[entry.daemon];
  const RouteRequest request = this->ToRouteRequest(aPlacementRequest);
  daemon.admission->SetPressure(daemon.router->Pressure(request));
  const Manifest& manifest = this->deployment.manifest;
  AdmissionRequest admission;
  admission.client = manifest.clients[aPlacementRequest.item->client].name;
  admission.rank = this->view.table->RankOf(request.priority);
  admission.tokens = request.promptTokens + request.expectedOutputTokens;
  auto ticket = daemon.admission->Admit(admission);
  if (!ticket) {
    return ticket.error();
  }
  entry.ticket.emplace(std::move(ticket.value()));
  return boost::outcome_v2::success();
}

Result<Placement>
LagoonwardPolicy::Place(const PlacementRequest& aPlacementRequest)
{
  Running& entry = this->running[aPlacementRequest.request];
  Router& router = *this->daemons[entry.daemon].router;
  RouteRequest request = this->ToRouteRequest(aPlacementRequest);
  std::array<std::string_view, 1> excluded;
  if (aPlacementRequest.failedHost >= 0) {
    for (std::size_t target = 0; target < this->view.hostOfTarget.size(); ++target) {
      if (this->view.hostOfTarget[target] ==
          static_cast<std::uint32_t>(aPlacementRequest.failedHost)) {
        excluded[0] = this->view.table->Targets()[target].id;
        request.excludedEndpoints = excluded;
      }
    }
  }
  const auto choice = router.Choose(request);
  if (!choice) {
    if (aPlacementRequest.attempt == 0) {
      entry.ticket.reset();
    }
    return choice.error();
  }
  entry.dispatch = router.OnDispatched(choice.value(), request);
  return Placement{ this->view.hostOfTarget[choice.value().endpoint], choice.value().priority };
}

void
LagoonwardPolicy::OnToken(std::uint32_t aRequest)
{
  Running& entry = this->running[aRequest];
  this->daemons[entry.daemon].router->OnToken(entry.dispatch);
}

void
LagoonwardPolicy::OnEnd(std::uint32_t aRequest, AttemptResult aEnd, bool aDone)
{
  Running& entry = this->running[aRequest];
  Daemon& daemon = this->daemons[entry.daemon];
  auto outcome = DispatchOutcome::Completed;
  if (aEnd != AttemptResult::Completed) {
    outcome = aEnd == AttemptResult::Failed ? DispatchOutcome::Failed : DispatchOutcome::Cancelled;
  }
  daemon.router->OnFinished(entry.dispatch, outcome);
  if (aEnd == AttemptResult::Completed) {
    daemon.retries->OnSuccess();
  }
  if (aDone) {
    entry.ticket.reset();
  }
}

void
LagoonwardPolicy::OnCompleted(std::uint32_t aRequest, bool aMet)
{
  this->running[aRequest].ticket->ReportTargets(aMet);
}

bool
LagoonwardPolicy::MayRetry(const PlacementRequest& aPlacementRequest)
{
  return this->daemons[aPlacementRequest.item->daemon].retries->TryConsume();
}

void
LagoonwardPolicy::OnCacheEvents(std::string_view aEndpoint, std::span<const std::uint64_t> aStored,
                                std::span<const std::uint64_t> aEvicted, bool aGap)
{
  for (Daemon& daemon : this->daemons) {
    daemon.router->OnCacheEvents(aEndpoint, aStored, aEvicted, aGap);
  }
}

void
LagoonwardPolicy::OnHeartbeat()
{
  for (std::size_t from = 0; from < this->daemons.size(); ++from) {
    const auto demand = this->daemons[from].admission->CollectDemand();
    for (std::size_t to = 0; to < this->daemons.size(); ++to) {
      if (to != from) {
        this->daemons[to].admission->OnPeerDemand(from, demand);
      }
    }
  }
}

} // namespace lagoonward::bench
