#include "Lagoonward/Attempts/RunService.h"

#include <cassert>

namespace lagoonward {

namespace {

const Log kLog("runs");

/// Interval at which Drain() logs the number of requests in progress.
constexpr Seconds kDrainLogInterval{ 5 };

} // namespace

RunService::Worker::Worker(const Clock& aClock, const HttpClientSettings& aSettings,
                           std::size_t aMaximumResponseMemory)
  : responseMemory(aMaximumResponseMemory)
  , loop(aClock, aSettings)
  , crashProbe(loop)
{
}

RunService::RunService(const RunServiceSettings& aSettings, const Clock& aClock,
                       const FleetStore& aFleet)
  : settings(aSettings)
  , clock(aClock)
  , fleet(aFleet)
  , journal(aSettings.attempts.journalRequests, aClock)
  , registry(aSettings.attempts, aClock)
  , poison({}, aClock)
  , moves(aSettings.moves)
{
  // The workers are created here, because other threads post to them before Start() and after Stop()
  const std::size_t responseMemory =
    aSettings.attempts.maximumResponseMemory / std::max(this->settings.threads, 1U);
  for (unsigned index = 0; index < this->settings.threads; ++index) {
    this->workers.push_back(
      std::make_unique<Worker>(this->clock, this->settings.client, responseMemory));
  }
}

RunService::~RunService()
{
  this->Stop();
}

void
RunService::SetClaims(ClaimService& aClaims)
{
  this->claims = &aClaims;
}

void
RunService::SetDirectory(RequestDirectory& aDirectory)
{
  this->directory = &aDirectory;
}

AnswerPart
RunService::ReadAnswer(const AnswerQuery& aQuery, std::size_t aMaximumTokens) const
{
  const RegistryEntry entry = this->registry.Find(aQuery.key, aQuery.bodyHash);
  AnswerPart part;
  part.isConflict = entry.outcome == RegistryOutcome::Conflict;
  part.isKnown = part.isConflict || entry.answer != nullptr;
  if (entry.answer == nullptr) {
    return part;
  }
  entry.answer->Read([&](const Answer& aAnswer) {
    const std::size_t end = std::min(aAnswer.TokenCount(), aQuery.fromToken + aMaximumTokens);
    for (std::size_t index = aQuery.fromToken; index < end; ++index) {
      part.tokens.emplace_back(aAnswer.Token(index));
    }
    // Only the piece with the last tokens reports the end
    part.ended = aAnswer.Ended() && end == aAnswer.TokenCount();
    if (part.ended) {
      part.failure = aAnswer.Failure();
      part.finishReason = aAnswer.FinishReason();
      part.reply = aAnswer.Reply();
    }
  });
  return part;
}

std::string_view
RunService::Name() const
{
  return kName;
}

Result<void>
RunService::Start()
{
  assert(this->claims != nullptr);
  for (const auto& worker : this->workers) {
    worker->loop.Start();
  }
  return boost::outcome_v2::success();
}

void
RunService::Drain()
{
  std::unique_lock lock(this->drainMutex);
  while (!this->runEnded.wait_for(lock, kDrainLogInterval, [&] { return this->activeRuns == 0; })) {
    kLog.Info("Draining: {} requests are still in progress.", this->activeRuns.load());
  }
}

void
RunService::Stop()
{
  for (const auto& worker : this->workers) {
    worker->loop.Stop();
  }
  // Runs cancel their transfers on their loop, so they are destroyed before it
  for (const auto& worker : this->workers) {
    worker->completions.clear();
    worker->services.clear();
  }
}

void
RunService::Submit(CompletionCall aCall, const MarketPtr& aMarket,
                   const std::shared_ptr<AnswerSubscriber>& aSubscriber)
{
  const double tokens = aCall.promptTokens + aCall.engine.maxTokens;
  this->SubmitCall<CompletionRun>(std::move(aCall), aMarket, tokens, aSubscriber);
}

void
RunService::Submit(ServiceCall aCall, const MarketPtr& aMarket,
                   const std::shared_ptr<AnswerSubscriber>& aSubscriber)
{
  this->SubmitCall<ServiceRun>(std::move(aCall), aMarket, 0, aSubscriber);
}

void
RunService::OnFleet(const FleetSnapshotPtr& aFleet)
{
  if (!MoveCoordinator::IsAnyEndpointLeaving(*aFleet)) {
    return;
  }
  for (const auto& worker : this->workers) {
    Worker& target = *worker;
    target.loop.Post([this, &target] { this->PlanMoves(target); });
  }
}

void
RunService::PlanMoves(Worker& aWorker)
{
  const FleetSnapshotPtr snapshot = this->fleet.Get();
  std::vector<MovableRun> runs;
  for (auto& [id, active] : aWorker.completions) {
    if (!active.run->Ended()) {
      runs.push_back({ active.run.get(), active.market.get() });
    }
  }
  this->moves.PlanAll(runs, *snapshot, this->clock.Now());
  // Plan again while any endpoint is leaving: streams may run longer than expected
  if (aWorker.replanTimer) {
    aWorker.loop.CancelTimer(*aWorker.replanTimer);
    aWorker.replanTimer.reset();
  }
  if (MoveCoordinator::IsAnyEndpointLeaving(*snapshot)) {
    aWorker.replanTimer =
      aWorker.loop.RunAfter(this->settings.moves.planner.replanInterval, [this, &aWorker] {
        aWorker.replanTimer.reset();
        this->PlanMoves(aWorker);
      });
  }
}

template<typename Run, typename Call>
void
RunService::SubmitCall(Call aCall, const MarketPtr& aMarket, double aTokens,
                       const std::shared_ptr<AnswerSubscriber>& aSubscriber)
{
  const CallTerms& terms = aCall.terms;
  const auto createAnswer = [&] {
    const auto created =
      std::chrono::duration_cast<Seconds>(this->clock.WallNow().time_since_epoch());
    return std::make_shared<Answer>(terms.requestId, aCall.Target(), created.count());
  };

  // Join the answer of the same key, if one exists
  const std::string key = terms.RegistryKey();
  RegistryEntry entry{ RegistryOutcome::Created, nullptr };
  if (key.empty()) {
    entry.answer = createAnswer();
  } else {
    entry = this->registry.FindOrCreate(key, terms.bodyHash, createAnswer);
  }
  if (entry.outcome == RegistryOutcome::Conflict) {
    const AnswerPtr rejected = createAnswer();
    rejected->Subscribe(aSubscriber);
    rejected->Fail(
      Error(ErrorKind::KeyConflict, "The idempotency key was used with a different body."));
    return;
  }
  entry.answer->Subscribe(aSubscriber);
  if (entry.outcome == RegistryOutcome::Joined) {
    this->journal.Record(kLog, entry.answer->RequestId(),
                         "joined by another caller with the same idempotency key.");
    return;
  }

  ++this->activeRuns;
  if (key.empty() || this->directory == nullptr) {
    this->AdmitThenRun<Run, Call>(std::move(aCall), aMarket, aTokens, entry.answer, false);
  } else {
    this->LocateThenRun<Run, Call>(std::move(aCall), aMarket, aTokens, entry.answer);
  }
}

template<typename Run, typename Call>
void
RunService::LocateThenRun(Call aCall, const MarketPtr& aMarket, double aTokens,
                          const AnswerPtr& aAnswer)
{
  const std::string key = aCall.terms.RegistryKey();
  const auto onFound = [this, call = std::move(aCall), aMarket, aTokens,
                        aAnswer](const std::optional<RemoteRequest>& aFound) {
    if (aFound && aFound->isServerAlive) {
      this->FollowThenRun<Run, Call>(*aFound, call, aMarket, aTokens, aAnswer);
      return;
    }
    Call located = call;
    if constexpr (std::is_same_v<Call, CompletionCall>) {
      // The daemon is lost, but the engine may still run the stream
      if (aFound && aFound->bodyHash == call.terms.bodyHash && !aFound->endpointId.empty()) {
        located.takeOverEndpoint = aFound->endpointId;
        located.takeOverStream = aFound->streamId;
      }
    }
    const bool wasAccepted = aFound && aFound->bodyHash == call.terms.bodyHash;
    this->AdmitThenRun<Run, Call>(std::move(located), aMarket, aTokens, aAnswer, wasAccepted);
  };
  this->directory->Find(key, onFound);
}

template<typename Run, typename Call>
void
RunService::FollowThenRun(const RemoteRequest& aFound, const Call& aCall, const MarketPtr& aMarket,
                          double aTokens, const AnswerPtr& aAnswer)
{
  this->journal.Record(kLog, aCall.terms.requestId,
                       "runs at another daemon; copying the answer from there.");
  const std::string key = aCall.terms.RegistryKey();
  Worker& worker = this->NextWorker();
  const auto onEnd = [this, aFound, aCall, aMarket, aTokens, aAnswer, key](RemoteAnswer::End aEnd) {
    if (aEnd == RemoteAnswer::End::Complete) {
      this->OnRunEnded(key, aCall.terms.idempotent);
      return;
    }
    if (aEnd == RemoteAnswer::End::Conflict) {
      this->Reject(
        aCall.terms, aAnswer,
        Error(ErrorKind::KeyConflict, "The idempotency key was used with a different body."));
      this->OnRunEnded({}, true);
      return;
    }
    Call resumed = aCall;
    if constexpr (std::is_same_v<Call, CompletionCall>) {
      resumed.takeOverEndpoint = aFound.endpointId;
      resumed.takeOverStream = aFound.endpointId.empty() ? std::string() : aFound.streamId;
    }
    const bool wasAccepted = aFound.bodyHash == aCall.terms.bodyHash;
    this->AdmitThenRun<Run, Call>(std::move(resumed), aMarket, aTokens, aAnswer, wasAccepted);
  };
  const AnswerQuery query{ key, aCall.terms.bodyHash, 0 };
  const auto remote = std::make_shared<RemoteAnswer>(
    worker.loop, *this->directory, this->settings.attempts, aFound.server, query, aAnswer, onEnd);
  worker.loop.Post([remote] { remote->Start(); });
}

template<typename Run, typename Call>
void
RunService::AdmitThenRun(Call aCall, const MarketPtr& aMarket, double aTokens,
                         const AnswerPtr& aAnswer, bool aWasAccepted)
{
  // Reject a poison request before a claim is made for it
  if (this->poison.IsPoisoned(aCall.terms.Fingerprint())) {
    this->Reject(aCall.terms, aAnswer, RunCrashTracker::PoisonError(Ran::No));
    this->OnRunEnded({}, true);
    return;
  }
  if constexpr (std::is_same_v<Call, CompletionCall>) {
    RouteRequest request;
    request.model = aCall.engine.model;
    request.version = aCall.engine.version;
    request.adapter = aCall.engine.adapter;
    request.adapterVersion = aCall.engine.adapterVersion;
    aMarket->admission.SetPressure(aMarket->router.Pressure(request));
  }
  auto ticket = aMarket->admission.Admit(
    { .client = aCall.terms.client, .rank = aCall.terms.rank, .tokens = aTokens });
  // A request that a lost daemon had accepted is run even if the current limits would reject it
  if (!ticket && !aWasAccepted) {
    this->Reject(aCall.terms, aAnswer, ticket.error());
    this->OnRunEnded({}, true);
    return;
  }
  Worker& worker = this->NextWorker();
  const auto sharedTicket = ticket ? std::make_shared<Ticket>(std::move(ticket.value())) : nullptr;
  if (aCall.terms.NeedsClaim()) {
    this->ClaimThenRun<Run, Call>(worker, std::move(aCall), aMarket, aAnswer, sharedTicket);
  } else {
    this->PostRun<Run, Call>(worker, std::move(aCall), aMarket, aAnswer, sharedTicket);
  }
}

template<typename Run, typename Call>
void
RunService::ClaimThenRun(Worker& aWorker, Call aCall, const MarketPtr& aMarket,
                         const AnswerPtr& aAnswer, const std::shared_ptr<Ticket>& aTicket)
{
  const ClaimKey key =
    MakeClaimKey(aCall.terms.market, aCall.terms.client, aCall.terms.idempotencyKey);
  const std::uint64_t bodyHash = aCall.terms.bodyHash;
  const auto onSettled = [this, &aWorker, call = std::move(aCall), aMarket, aAnswer, aTicket,
                          bodyHash](const std::shared_ptr<DispatchClaim>& aClaim,
                                    const ClaimAnswer& aVerdict) {
    Call claimed = call;
    claimed.terms.claim = aClaim;
    if (aClaim != nullptr) {
      this->PostRun<Run, Call>(aWorker, std::move(claimed), aMarket, aAnswer, aTicket);
      return;
    }
    this->Reject(claimed.terms, aAnswer, ToError(aVerdict, bodyHash));
    this->OnRunEnded({}, true);
  };
  DispatchClaim::Request(*this->claims, key, bodyHash, onSettled);
}

template<typename Run, typename Call>
void
RunService::PostRun(Worker& aWorker, Call aCall, const MarketPtr& aMarket, const AnswerPtr& aAnswer,
                    const std::shared_ptr<Ticket>& aTicket)
{
  aWorker.loop.Post([this, &aWorker, call = std::move(aCall), aMarket, aAnswer, aTicket] {
    this->BeginRun<Run, Call>(aWorker, call, aMarket, aAnswer, aTicket);
  });
}

template<typename Run, typename Call>
void
RunService::BeginRun(Worker& aWorker, Call aCall, const MarketPtr& aMarket,
                     const AnswerPtr& aAnswer, const std::shared_ptr<Ticket>& aTicket)
{
  const RunContext context{
    aWorker.loop,  aMarket->router,    aMarket->retryBudget,    this->fleet,
    this->journal, this->counters,     this->settings.attempts, this->directory,
    this->poison,  aWorker.crashProbe, aWorker.responseMemory
  };
  const std::uint64_t id = this->nextRun++;
  const std::string key = aCall.terms.RegistryKey();
  const bool idempotent = aCall.terms.idempotent;
  auto onEnded = [this, &aWorker, id, key, idempotent] {
    auto& runs = RunsOf<Run>(aWorker);
    if constexpr (std::is_same_v<Run, CompletionRun>) {
      SettleTicket(runs.at(id));
    }
    runs.erase(id);
    this->OnRunEnded(key, idempotent);
  };
  auto run = std::make_unique<Run>(context, std::move(aCall), aAnswer, std::move(onEnded));
  Run& started = *run;
  RunsOf<Run>(aWorker).emplace(id, ActiveRun<Run>{ aMarket, aTicket, std::move(run) });
  started.Start();
}

void
RunService::SettleTicket(ActiveRun<CompletionRun>& aActive)
{
  if (aActive.ticket == nullptr) {
    return;
  }
  const CompletionRun& run = *aActive.run;
  aActive.ticket->Settle(run.Call().promptTokens +
                         static_cast<double>(run.GetAnswer().TokenCount()));
  if (const auto metTarget = run.MetFirstTokenTarget()) {
    aActive.ticket->ReportTargets(*metTarget);
  }
}

template<typename Run>
std::unordered_map<std::uint64_t, RunService::ActiveRun<Run>>&
RunService::RunsOf(Worker& aWorker)
{
  if constexpr (std::is_same_v<Run, CompletionRun>) {
    return aWorker.completions;
  } else {
    return aWorker.services;
  }
}

void
RunService::Reject(const CallTerms& aTerms, const AnswerPtr& aAnswer, const Error& aError)
{
  this->journal.Record(
    kLog, aTerms.requestId,
    fmt::format("rejected: {}: {}", GetErrorRule(aError.kind).name, aError.message));
  aAnswer->Fail(aError);
  const std::string key = aTerms.RegistryKey();
  if (!key.empty()) {
    this->registry.OnEnded(key, aTerms.idempotent);
  }
}

void
RunService::OnRunEnded(const std::string& aRegistryKey, bool aIdempotent)
{
  if (!aRegistryKey.empty()) {
    this->registry.OnEnded(aRegistryKey, aIdempotent);
  }
  this->registry.RemoveExpired();
  const std::scoped_lock lock(this->drainMutex);
  --this->activeRuns;
  this->runEnded.notify_all();
}

RunService::Worker&
RunService::NextWorker()
{
  return *this->workers[this->nextRun++ % this->workers.size()];
}

} // namespace lagoonward
