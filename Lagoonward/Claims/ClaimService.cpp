#include "Lagoonward/Claims/ClaimService.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/Log.h"

#include <algorithm>

namespace lagoonward {

namespace {

using Verdict = ClaimAnswer::Verdict;

constexpr std::size_t kBatchersPerShard = 2;
constexpr Milliseconds kClockMargin{
  60'000
}; ///< Maximum difference between callers' clocks and ours.
const Log kLog("claims");

} // namespace

ClaimService::ClaimService(ClaimSettings aSettings, ClaimServiceHooks aHooks, LogService& aLog,
                           const Clock& aClock)
  : settings(aSettings)
  , hooks(std::move(aHooks))
  , log(aLog)
  , clock(aClock)
{
  for (std::size_t shard = 0; shard < kClaimShards; ++shard) {
    this->batchers.at(shard) =
      std::make_unique<ClaimBatcher>(ClaimStream(this->hooks.region, shard),
                                     this->hooks.incarnation, this->settings, aLog, aClock);
  }
}

ClaimService::~ClaimService()
{
  this->Stop();
}

Result<void>
ClaimService::Start()
{
  for (std::size_t shard = 0; shard < kClaimShards; ++shard) {
    this->threads.at(shard) = std::thread([this, shard] { this->Run(*this->batchers.at(shard)); });
  }
  return boost::outcome_v2::success();
}

void
ClaimService::Stop()
{
  this->stopping = true;
  this->log.Interrupt();
  for (const auto& batcher : this->batchers) {
    batcher->WakeUp();
  }
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void
ClaimService::Run(ClaimBatcher& aBatcher)
{
  while (!this->stopping) {
    aBatcher.WaitForWork(aBatcher.Step());
  }
  aBatcher.RefuseAll(this->settings.claimTimeout);
}

ClaimTicketPtr
ClaimService::Claim(const ClaimKey& aKey, std::uint64_t aBodyHash, ClaimCallback aCallback,
                    std::optional<WallTime> aKeyIssued)
{
  const auto now = this->clock.BootNow();
  const lagoonward::Claim claim{ aKey,
                                 aBodyHash,
                                 { this->hooks.incarnation, this->nextSequence.fetch_add(1) } };
  auto request = std::make_shared<ClaimRequest>();
  request->ticket = std::make_shared<ClaimTicket>(claim, now + this->settings.dispatchWindow);
  request->callback = std::move(aCallback);
  request->deadline = now + this->settings.claimTimeout;
  request->daemons = this->BatcherDaemons(ShardOf(aKey));
  const auto oldest = this->clock.WallNow() - this->settings.keyLifetime + kClockMargin;
  if (aKeyIssued && *aKeyIssued < oldest) {
    ClaimAnswer expired;
    expired.verdict = Verdict::Expired;
    this->Finish(request, expired);
    return request->ticket;
  }
  this->AskNextDaemon(request);
  return request->ticket;
}

bool
ClaimService::BeginDispatch(const ClaimTicketPtr& aTicket)
{
  if (aTicket->BeginDispatch(this->clock)) {
    return true;
  }
  this->Withdraw(aTicket);
  return false;
}

bool
ClaimService::Withdraw(const ClaimTicketPtr& aTicket)
{
  if (!aTicket->Close()) {
    return !aTicket->WasDispatched();
  }
  const auto& claim = aTicket->GetClaim();
  this->RecordOutcome({ claim.key, claim.id, Ran::No });
  return true;
}

void
ClaimService::ReportOutcome(const ClaimTicketPtr& aTicket, Ran aRan)
{
  if (aRan == Ran::Unknown) {
    return;
  }
  const auto& claim = aTicket->GetClaim();
  this->RecordOutcome({ claim.key, claim.id, aRan });
}

void
ClaimService::Receive(const lagoonward::Claim& aClaim, Milliseconds aBudget,
                      ClaimCallback aCallback)
{
  this->batchers.at(ShardOf(aClaim.key))
    ->Submit(aClaim, this->clock.BootNow() + aBudget, std::move(aCallback));
}

void
ClaimService::ReceiveOutcome(const ClaimOutcome& aOutcome)
{
  this->batchers.at(ShardOf(aOutcome.key))->SubmitOutcome(aOutcome);
}

ClaimBatcher::Counters
ClaimService::GetCounters() const
{
  ClaimBatcher::Counters sum;
  for (const auto& batcher : this->batchers) {
    const auto counters = batcher->GetCounters();
    sum.appends += counters.appends;
    sum.claims += counters.claims;
    sum.reads += counters.reads;
  }
  return sum;
}

std::vector<std::string>
ClaimService::BatcherDaemons(std::size_t aShard) const
{
  const auto key = HashBytes(ClaimStream(this->hooks.region, aShard));
  auto daemons = this->hooks.liveDaemons ? this->hooks.liveDaemons() : std::vector<std::string>();
  if (daemons.empty()) {
    daemons.push_back(this->hooks.daemonId);
  }
  const auto count = std::min(kBatchersPerShard, daemons.size());
  const auto heavier = [key](const std::string& aFirst, const std::string& aSecond) {
    return RendezvousWeight(key, HashBytes(aFirst)) > RendezvousWeight(key, HashBytes(aSecond));
  };
  std::partial_sort(daemons.begin(), daemons.begin() + static_cast<std::ptrdiff_t>(count),
                    daemons.end(), heavier);
  daemons.resize(count);
  return daemons;
}

void
ClaimService::AskNextDaemon(const ClaimRequestPtr& aRequest)
{
  const auto remaining =
    std::chrono::duration_cast<Milliseconds>(aRequest->deadline - this->clock.BootNow());
  if (aRequest->daemons.empty() || remaining.count() <= 0) {
    this->Finish(aRequest, ClaimAnswer());
    return;
  }
  const std::string daemon = aRequest->daemons.front();
  aRequest->daemons.erase(aRequest->daemons.begin());
  const auto answered = [this, aRequest](const ClaimAnswer& aAnswer) {
    this->OnAnswer(aRequest, aAnswer);
  };
  const auto& claim = aRequest->ticket->GetClaim();
  if (daemon == this->hooks.daemonId || this->hooks.forwarder == nullptr) {
    this->Receive(claim, remaining, answered);
    return;
  }

  // Reserve time for the second daemon
  const bool isLast = aRequest->daemons.empty();
  const auto budget = isLast ? remaining : std::min(remaining, this->settings.forwardTimeout);
  this->hooks.forwarder->ForwardClaim(daemon, claim, budget, answered);
}

void
ClaimService::OnAnswer(const ClaimRequestPtr& aRequest, const ClaimAnswer& aAnswer)
{
  // A daemon that did not respond may still have recorded the claim; a second copy has no effect
  if (aAnswer.verdict == Verdict::Unreachable) {
    aRequest->maybeRecorded = true;
    this->AskNextDaemon(aRequest);
    return;
  }
  this->Finish(aRequest, aAnswer);
}

void
ClaimService::Finish(const ClaimRequestPtr& aRequest, ClaimAnswer aAnswer)
{
  const auto& claim = aRequest->ticket->GetClaim();
  aAnswer.maybeRecorded = aAnswer.maybeRecorded || aRequest->maybeRecorded;
  if (aAnswer.verdict == Verdict::Won) {
    if (aRequest->ticket->MarkWon()) {
      kLog.Info("claim {} won at offset {}.", ToString(claim.id), aAnswer.holder.offset);
      aRequest->callback(aAnswer);
    }
    return;
  }

  // Close the ticket before freeing the key, so that no duplicate answer can cause a dispatch
  if (!aRequest->ticket->Close()) {
    return;
  }
  if (aAnswer.verdict != Verdict::Lost && aAnswer.maybeRecorded) {
    this->RecordOutcome({ claim.key, claim.id, Ran::No });
  }
  kLog.Info("claim {} {}.", ToString(claim.id),
            aAnswer.verdict == Verdict::Lost ? "lost to " + ToString(aAnswer.holder.id)
                                             : std::string("was not decided and is refused"));
  aRequest->callback(aAnswer);
}

void
ClaimService::RecordOutcome(const ClaimOutcome& aOutcome)
{
  const std::string first = this->BatcherDaemons(ShardOf(aOutcome.key)).front();
  const bool isOwn = first == this->hooks.daemonId || this->hooks.forwarder == nullptr;
  if (isOwn || !this->hooks.forwarder->ForwardOutcome(first, aOutcome)) {
    this->ReceiveOutcome(aOutcome);
  }
}

} // namespace lagoonward
