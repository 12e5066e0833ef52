#include "Lagoonward/Admission/SharedTokenBucket.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// While a reserve holds at least this fraction of its capacity, it grants the preferred number of tokens instead of
/// the needed one.
constexpr double kAmpleFraction = 0.5;

/// After a refusal, requests for at most this fraction of the refused tokens are still sent to the reserves: what they
/// have left may be enough for smaller requests.
constexpr double kSmallerRequestRatio = 0.5;

/// New requests of at most this fraction of a refused continuation's tokens hardly delay it.
constexpr double kNegligibleRatio = 0.25;

/// Adds tokens up to the capacity. A level above the capacity, after a grant or a decrease of the capacity, is kept.
/// @return the tokens that did not fit
double
AddUpTo(double& aLevel, double aTokens, double aCapacity)
{
  const double room = std::max(aCapacity - aLevel, 0.0);
  const double added = std::min(aTokens, room);
  aLevel += added;
  return aTokens - added;
}

} // namespace

SharedTokenBucket::SharedTokenBucket(const SharedTokenBucketSettings& aSettings, TimePoint aNow)
  : settings(aSettings)
  , settledAt(aNow)
  , startedAt(aNow)
  , advancedAt(aNow)
  , rotatedAt(aNow)
  , refusedUntil(aNow)
  , continuationRefusedUntil(aNow)
  , yieldUntil(aNow)
{
}

void
SharedTokenBucket::Configure(const PooledLimit& aLimit, TimePoint aNow)
{
  // Configurations arrive several times a second, mostly with unrelated changes. They must not remove tokens that a
  // reserve has granted for a request that is about to be admitted
  if (this->isConfigured && aLimit == this->limit) {
    return;
  }
  this->Advance(aNow);
  this->limit = aLimit;
  if (!this->isConfigured) {
    this->isConfigured = true;
    this->FillInitially(aNow);
  }
  this->localTokens = std::min(this->localTokens, this->LocalCapacity(aNow));
  this->reserveTokens = std::min(this->reserveTokens, this->ReserveCapacity());
  this->remoteTokens = std::min(this->remoteTokens, this->RemoteCapacity(aNow));
  this->currentSurplus = 0;
  this->previousSurplus = 0;
}

void
SharedTokenBucket::FillInitially(TimePoint aNow)
{
  if (this->daemonCount) {
    this->localTokens = this->LocalCapacity(aNow) * this->settings.initialFillRatio;
    this->remoteTokens = this->RemoteCapacity(aNow) * this->settings.initialFillRatio;
  }
}

void
SharedTokenBucket::SetReserveRole(ReserveRole aRole, TimePoint aNow)
{
  if (aRole == this->role) {
    return;
  }
  this->Advance(aNow);
  this->role = aRole;
  // A backup that becomes the primary keeps the tokens of its reserve, as no other daemon holds them
  this->reserveTokens = std::min(this->reserveTokens, this->ReserveCapacity());
  this->remoteTokens = std::min(this->remoteTokens, this->RemoteCapacity(aNow));
  this->currentSurplus = 0;
  this->previousSurplus = 0;
}

double
SharedTokenBucket::ReachableFraction(TimePoint aNow) const
{
  int reachable = 1;
  for (const auto& [key, peer] : this->peers) {
    reachable += aNow - peer.receivedAt <= this->settings.silenceTimeout ? peer.daemons : 0;
  }
  return std::min(static_cast<double>(reachable) / this->daemonCount.value_or(1), 1.0);
}

double
SharedTokenBucket::StartAdvance(TimePoint aNow) const
{
  const bool hasAdvance =
    this->role == ReserveRole::Primary && aNow < this->settledAt && !this->othersRanBefore;
  return hasAdvance ? this->limit.capacity * this->settings.advancedCapacity +
                        this->limit.slack * this->settings.advancedSlack
                    : 0;
}

double
SharedTokenBucket::ReserveShare() const
{
  switch (this->role) {
    case ReserveRole::Primary:
      return 1 - this->settings.localShare - this->settings.backupShare;
    case ReserveRole::Backup:
      return this->settings.backupShare;
    case ReserveRole::None:
      break;
  }
  return 0;
}

bool
SharedTokenBucket::IsPartitioned(TimePoint aNow) const
{
  return this->role == ReserveRole::None && this->unansweredSince &&
         aNow - *this->unansweredSince >= this->settings.silenceTimeout &&
         aNow - this->lastUnansweredAt <= this->settings.silenceTimeout;
}

bool
SharedTokenBucket::Yields(double aTokens, LimitTokenUse aUse, TimePoint aNow) const
{
  return aUse == LimitTokenUse::NewRequest && aNow < this->yieldUntil &&
         aTokens > this->refusedContinuation * kNegligibleRatio;
}

void
SharedTokenBucket::OnRefused(double aTokens, LimitTokenUse aUse, TimePoint aNow)
{
  // One that is larger than the limit is never admitted, and must not keep others waiting
  if (aUse == LimitTokenUse::Continuation && aTokens <= this->limit.capacity) {
    this->yieldUntil = aNow + this->settings.continuationPrecedence;
    this->refusedContinuation = aTokens;
  }
}

double
SharedTokenBucket::LocalRate(TimePoint aNow) const
{
  if (!this->daemonCount) {
    return 0;
  }
  if (this->IsOnlyDaemon()) {
    return this->limit.rate;
  }
  const double equalRate = this->limit.rate / *this->daemonCount;
  return this->IsPartitioned(aNow) ? equalRate : equalRate * this->settings.localShare;
}

double
SharedTokenBucket::LocalCapacity(TimePoint aNow) const
{
  if (!this->daemonCount) {
    return 0;
  }
  if (this->IsOnlyDaemon()) {
    return this->limit.capacity + this->limit.slack;
  }
  const double share = this->IsPartitioned(aNow) ? 1 : this->settings.localShare;
  return (this->limit.capacity * share + this->limit.slack) / *this->daemonCount;
}

double
SharedTokenBucket::ReserveCapacity() const
{
  return this->IsOnlyDaemon() ? 0 : this->limit.capacity * this->ReserveShare();
}

double
SharedTokenBucket::RemoteCapacity(TimePoint aNow) const
{
  return this->limit.capacity + this->limit.slack - this->LocalCapacity(aNow) -
         this->ReserveCapacity();
}

void
SharedTokenBucket::Advance(TimePoint aNow)
{
  const double seconds = ToSeconds(aNow - this->advancedAt);
  if (seconds <= 0) {
    return;
  }
  this->advancedAt = aNow;
  this->RotateGenerations(aNow);
  const double localRate = this->LocalRate(aNow);
  AddUpTo(this->localTokens, localRate * seconds, this->LocalCapacity(aNow));
  if (!this->daemonCount || this->IsOnlyDaemon()) {
    return;
  }
  // Unreachable daemons may be partitioned; each of them then uses an equal share of the whole rate
  const double reachableRate = this->limit.rate * this->ReachableFraction(aNow);
  const double reserveRate = reachableRate * this->ReserveShare();
  AddUpTo(this->reserveTokens, reserveRate * seconds, this->ReserveCapacity());
  const double remoteRate = std::max(reachableRate - reserveRate - localRate, 0.0);
  const double left = AddUpTo(this->remoteTokens, remoteRate * seconds, this->RemoteCapacity(aNow));
  if (this->role == ReserveRole::Primary) {
    const double expectedTokens =
      this->reserveTokens + this->currentSurplus + this->previousSurplus;
    this->currentSurplus += std::clamp(this->ReserveCapacity() - expectedTokens, 0.0, left);
  }
}

void
SharedTokenBucket::RotateGenerations(TimePoint aNow)
{
  if (aNow - this->rotatedAt < this->settings.silenceTimeout) {
    return;
  }
  this->rotatedAt = aNow;
  // No peer has reported the use of the previous surplus within the longest delay of a total
  AddUpTo(this->reserveTokens, this->previousSurplus, this->ReserveCapacity());
  this->previousSurplus = this->currentSurplus;
  this->currentSurplus = 0;
  this->previousGrants = this->currentGrants;
  this->currentGrants = 0;
}

double
SharedTokenBucket::TryConsume(double aTokens, TimePoint aNow, LimitTokenUse aUse)
{
  if (!this->daemonCount) {
    const auto left = this->startedAt + this->settings.daemonCountTimeout - aNow;
    if (left > TimePoint::duration::zero()) {
      return std::min(ToSeconds(left), ToSeconds(this->settings.settlingTime));
    }
    this->OnSendInterval(1, aNow);
  }
  this->Advance(aNow);
  const bool yields = this->Yields(aTokens, aUse, aNow);
  if (!yields && aTokens <= this->localTokens + this->reserveTokens) {
    const double fromLocal = std::min(aTokens, this->localTokens);
    this->localTokens -= fromLocal;
    this->reserveTokens -= aTokens - fromLocal;
    this->admittedTotal += aTokens;
    return 0;
  }
  this->OnRefused(aTokens, aUse, aNow);
  const double equalShare = aTokens / *this->daemonCount;
  const double wait =
    std::max(aTokens - this->Level(), equalShare) / std::max(this->limit.rate, 1.0);
  const bool isContinuation = aUse == LimitTokenUse::Continuation;
  const TimePoint refusalEnd = isContinuation ? this->continuationRefusedUntil : this->refusedUntil;
  return std::max({ wait, ToSeconds(refusalEnd - aNow), ToSeconds(this->settledAt - aNow),
                    yields ? ToSeconds(this->yieldUntil - aNow) : 0 });
}

std::optional<LimitTokenRequest>
SharedTokenBucket::MakeTokenRequest(double aTokens, TimePoint aNow, LimitTokenUse aUse)
{
  this->Advance(aNow);
  const double need = aTokens - this->localTokens - this->reserveTokens;
  const bool isContinuation = aUse == LimitTokenUse::Continuation;
  const bool isRefused =
    isContinuation ? aNow < this->continuationRefusedUntil
                   : aNow < this->refusedUntil && need > this->refusedTokens * kSmallerRequestRatio;
  if (need <= 0 || !this->daemonCount || this->IsOnlyDaemon() || isRefused ||
      this->Yields(aTokens, aUse, aNow)) {
    return std::nullopt;
  }
  if (isContinuation) {
    return LimitTokenRequest{ 0, need, need, {}, aUse };
  }
  const double prefetchTokens =
    this->limit.rate / *this->daemonCount * ToSeconds(this->settings.prefetch);
  return LimitTokenRequest{ 0, need, need + prefetchTokens, {} };
}

std::optional<LimitTokenRequest>
SharedTokenBucket::ChargeRepeat(double aTokens, TimePoint aNow)
{
  this->Advance(aNow);
  this->localTokens -= aTokens;
  this->admittedTotal += aTokens;
  const double missing = std::min(aTokens, -this->localTokens);
  if (missing <= 0 || !this->daemonCount || this->IsOnlyDaemon()) {
    return std::nullopt;
  }
  if (this->role != ReserveRole::None) {
    this->localTokens += missing;
    this->reserveTokens -= missing;
    return std::nullopt;
  }
  return LimitTokenRequest{ 0, missing, missing, {}, LimitTokenUse::Overdraft };
}

void
SharedTokenBucket::OnTokenGrant(const LimitTokenGrant& aGrant, double aNeed, TimePoint aNow,
                                LimitTokenUse aUse)
{
  this->Advance(aNow);
  this->unansweredSince.reset();
  if (aGrant.tokens > 0) {
    this->localTokens += aGrant.tokens;
    this->remoteTokens -= aGrant.tokens;
    return;
  }
  const double wait = std::min(aGrant.retryAfterSeconds, ToSeconds(this->settings.maximumRefusal));
  const TimePoint until =
    aNow + std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(wait));
  if (aUse == LimitTokenUse::Continuation) {
    this->continuationRefusedUntil = until;
    return;
  }
  this->refusedTokens = aNeed;
  this->refusedUntil = until;
}

void
SharedTokenBucket::OnTokenRequestTimeout(TimePoint aNow)
{
  // The local share may refill at a different rate from now on: the tokens up to now are added at the previous rate
  // first
  this->Advance(aNow);
  this->refusedTokens = 0;
  this->refusedUntil = aNow + this->settings.unansweredRetryDelay;
  this->continuationRefusedUntil = this->refusedUntil;
  if (!this->unansweredSince || aNow - this->lastUnansweredAt > this->settings.silenceTimeout) {
    this->unansweredSince = aNow;
  }
  this->lastUnansweredAt = aNow;
}

LimitTokenGrant
SharedTokenBucket::GrantTokens(const LimitTokenRequest& aRequest, TimePoint aNow)
{
  if (this->role == ReserveRole::None || !this->daemonCount) {
    return {};
  }
  this->Advance(aNow);
  if (aRequest.use == LimitTokenUse::Overdraft) {
    this->reserveTokens =
      std::max(this->reserveTokens - aRequest.neededTokens, -this->ReserveCapacity());
    this->currentGrants += aRequest.neededTokens;
    return { aRequest.neededTokens, 0 };
  }
  const bool isAmple = this->reserveTokens >= this->ReserveCapacity() * kAmpleFraction;
  const double preferred =
    isAmple ? std::max(aRequest.preferredTokens, aRequest.neededTokens) : aRequest.neededTokens;
  const double granted = preferred <= this->reserveTokens ? preferred : aRequest.neededTokens;
  const bool yields = this->Yields(aRequest.neededTokens, aRequest.use, aNow);
  if (!yields && granted <= this->reserveTokens + this->StartAdvance(aNow)) {
    this->reserveTokens -= granted;
    this->currentGrants += granted;
    return { granted, 0 };
  }
  this->OnRefused(aRequest.neededTokens, aRequest.use, aNow);
  const double refillSeconds =
    (aRequest.neededTokens - this->reserveTokens) / std::max(this->limit.rate, 1.0);
  const double pacingSeconds = *this->daemonCount / this->settings.refusalsPerSecond;
  return { 0,
           std::max({ refillSeconds, pacingSeconds, ToSeconds(this->settings.minimumRefusal) }) };
}

void
SharedTokenBucket::OnSendInterval(int aDaemons, TimePoint aNow)
{
  this->Advance(aNow);
  std::erase_if(this->peers, [&](const auto& aPeer) {
    return aNow - aPeer.second.receivedAt > this->settings.peerRetention;
  });
  const int count = std::max(aDaemons, 1);
  if (this->daemonCount == count) {
    return;
  }
  // The only daemon holds the whole limit and must give up the excess; otherwise tokens beyond the local share were
  // granted by a reserve and are kept
  const bool isFirst = !this->daemonCount;
  const bool wasOnlyDaemon = this->IsOnlyDaemon();
  this->daemonCount = count;
  if (isFirst) {
    this->settledAt = aNow + this->settings.settlingTime;
  }
  if (isFirst && this->isConfigured) {
    this->FillInitially(aNow);
  } else if (wasOnlyDaemon) {
    this->localTokens = std::min(this->localTokens, this->LocalCapacity(aNow));
  }
  this->remoteTokens = std::min(this->remoteTokens, this->RemoteCapacity(aNow));
}

void
SharedTokenBucket::OnPeerTotal(std::uint64_t aPeer, double aTotal, TimePoint aNow, int aDaemons,
                               std::uint64_t aSeries)
{
  this->Advance(aNow);
  this->othersRanBefore = this->othersRanBefore || aTotal > this->limit.capacity;
  const auto known = this->peers.find(aPeer);
  if (known == this->peers.end() || known->second.series != aSeries) {
    this->peers[aPeer] = Peer{ aNow, aTotal, aDaemons, aSeries };
    return;
  }
  // A lower total means that the peer has restarted and counts from zero
  Peer& peer = known->second;
  this->ChargeRemote(aTotal >= peer.total ? aTotal - peer.total : aTotal);
  peer = Peer{ aNow, aTotal, aDaemons, aSeries };
}

void
SharedTokenBucket::ChargeRemote(double aTokens)
{
  double left = aTokens;
  // Grants were charged when they were made, and the surplus was never added to the other shares: both are used up
  // first
  for (double* charged : { &this->previousGrants, &this->currentGrants, &this->currentSurplus,
                           &this->previousSurplus }) {
    const double amount = std::min(left, *charged);
    *charged -= amount;
    left -= amount;
  }
  this->remoteTokens = std::max(this->remoteTokens - left, -this->limit.capacity);
}

} // namespace lagoonward
