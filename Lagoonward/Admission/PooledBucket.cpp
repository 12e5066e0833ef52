#include "Lagoonward/Admission/PooledBucket.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// While a reserve holds at least this part of its capacity, it lends more than is needed at once.
constexpr double kAmplePart = 0.5;

/// Reserves that have refused a loan are asked again at once for this part of it: what is left may do for smaller requests.
constexpr double kSmallerLoan = 0.5;

/// Adds to a part until it is full. What a part holds beyond, by loans or since its capacity fell, stays.
/// @return what it could not hold
double
Fill(double& aLevel, double aTokens, double aCapacity)
{
  const double room = std::max(aCapacity - aLevel, 0.0);
  const double added = std::min(aTokens, room);
  aLevel += added;
  return aTokens - added;
}

} // namespace

PooledBucket::PooledBucket(const PooledBucketSettings& aSettings, TimePoint aNow)
  : settings(aSettings)
  , startedAt(aNow)
  , advancedAt(aNow)
  , turnedAt(aNow)
  , refusedUntil(aNow)
{
}

void
PooledBucket::Configure(const PooledLimit& aLimit, TimePoint aNow)
{
  // Configurations come several times a second, most of them about other things: what was borrowed for a request that is
  // about to be admitted must not be cut off
  if (this->configured && aLimit == this->limit) {
    return;
  }
  this->Advance(aNow);
  this->limit = aLimit;
  if (!this->configured) {
    this->configured = true;
    this->own = this->OwnCapacity(aNow) * this->settings.firstFill;
    this->others = this->OthersCapacity(aNow) * this->settings.firstFill;
  }
  this->own = std::min(this->own, this->OwnCapacity(aNow));
  this->reserve = std::min(this->reserve, this->ReserveCapacity());
  this->others = std::min(this->others, this->OthersCapacity(aNow));
  this->surplusNew = 0;
  this->surplusOld = 0;
}

void
PooledBucket::SetRole(ReserveRole aRole, TimePoint aNow)
{
  if (aRole == this->role) {
    return;
  }
  this->Advance(aNow);
  this->role = aRole;
  // Who becomes the primary reserve goes on with what it kept as the backup: nobody else holds that
  this->reserve = std::min(this->reserve, this->ReserveCapacity());
  this->others = std::min(this->others, this->OthersCapacity(aNow));
  this->surplusNew = 0;
  this->surplusOld = 0;
}

double
PooledBucket::HeardPart(TimePoint aNow) const
{
  int heard = 1;
  for (const auto& [key, peer] : this->peers) {
    heard += aNow - peer.heard <= this->settings.silence ? peer.daemons : 0;
  }
  return std::min(static_cast<double>(heard) / this->daemons.value_or(1), 1.0);
}

double
PooledBucket::ReservePart() const
{
  switch (this->role) {
    case ReserveRole::Primary:
      return 1 - this->settings.ownPart - this->settings.backupPart;
    case ReserveRole::Backup:
      return this->settings.backupPart;
    case ReserveRole::None:
      break;
  }
  return 0;
}

bool
PooledBucket::IsCutOff(TimePoint aNow) const
{
  return this->role == ReserveRole::None && this->unansweredSince &&
         aNow - *this->unansweredSince >= this->settings.silence &&
         aNow - this->unansweredLast <= this->settings.silence;
}

double
PooledBucket::OwnRate(TimePoint aNow) const
{
  if (this->IsAlone()) {
    return this->limit.rate;
  }
  const double equal = this->limit.rate / *this->daemons;
  return this->IsCutOff(aNow) ? equal : equal * this->settings.ownPart;
}

double
PooledBucket::OwnCapacity(TimePoint aNow) const
{
  if (this->IsAlone()) {
    return this->limit.capacity + this->limit.slack;
  }
  const double part = this->IsCutOff(aNow) ? 1 : this->settings.ownPart;
  return (this->limit.capacity * part + this->limit.slack) / *this->daemons;
}

double
PooledBucket::ReserveCapacity() const
{
  return this->IsAlone() ? 0 : this->limit.capacity * this->ReservePart();
}

double
PooledBucket::OthersCapacity(TimePoint aNow) const
{
  return this->limit.capacity + this->limit.slack - this->OwnCapacity(aNow) -
         this->ReserveCapacity();
}

void
PooledBucket::Advance(TimePoint aNow)
{
  const double seconds = ToSeconds(aNow - this->advancedAt);
  if (seconds <= 0) {
    return;
  }
  this->advancedAt = aNow;
  this->TurnGenerations(aNow);
  const double ownRate = this->OwnRate(aNow);
  Fill(this->own, ownRate * seconds, this->OwnCapacity(aNow));
  if (this->IsAlone()) {
    return;
  }
  // Those that are not heard may be cut off, and then use an equal part of the whole rate
  const double heardRate = this->limit.rate * this->HeardPart(aNow);
  const double reserveRate = heardRate * this->ReservePart();
  Fill(this->reserve, reserveRate * seconds, this->ReserveCapacity());
  const double othersRate = std::max(heardRate - reserveRate - ownRate, 0.0);
  const double left = Fill(this->others, othersRate * seconds, this->OthersCapacity(aNow));
  if (this->role == ReserveRole::Primary) {
    const double coming = this->reserve + this->surplusNew + this->surplusOld;
    this->surplusNew += std::clamp(this->ReserveCapacity() - coming, 0.0, left);
  }
}

void
PooledBucket::TurnGenerations(TimePoint aNow)
{
  if (aNow - this->turnedAt < this->settings.silence) {
    return;
  }
  this->turnedAt = aNow;
  // Nobody has told of having used it for as long as news may take
  Fill(this->reserve, this->surplusOld, this->ReserveCapacity());
  this->surplusOld = this->surplusNew;
  this->surplusNew = 0;
  this->lentBefore = this->lentNow;
  this->lentNow = 0;
}

double
PooledBucket::Take(double aTokens, TimePoint aNow)
{
  if (!this->daemons) {
    const auto left = this->startedAt + this->settings.countPatience - aNow;
    if (left > TimePoint::duration::zero()) {
      return ToSeconds(left);
    }
    this->OnInterval(1, aNow);
  }
  this->Advance(aNow);
  if (aTokens <= this->own + this->reserve) {
    const double fromOwn = std::min(aTokens, this->own);
    this->own -= fromOwn;
    this->reserve -= aTokens - fromOwn;
    this->total += aTokens;
    return 0;
  }
  const double part = aTokens / *this->daemons;
  const double wait = std::max(aTokens - this->Level(), part) / std::max(this->limit.rate, 1.0);
  return std::max(wait, ToSeconds(this->refusedUntil - aNow));
}

std::optional<LoanRequest>
PooledBucket::WantedLoan(double aTokens, TimePoint aNow)
{
  this->Advance(aNow);
  const double need = aTokens - this->own - this->reserve;
  const bool isRefused = aNow < this->refusedUntil && need > this->refusedNeed * kSmallerLoan;
  if (need <= 0 || this->IsAlone() || isRefused) {
    return std::nullopt;
  }
  const double ahead = this->limit.rate / *this->daemons * ToSeconds(this->settings.loanAhead);
  return LoanRequest{ 0, need, need + ahead, {} };
}

void
PooledBucket::OnLoan(const Loan& aLoan, double aNeed, TimePoint aNow)
{
  this->Advance(aNow);
  this->unansweredSince.reset();
  if (aLoan.tokens > 0) {
    this->own += aLoan.tokens;
    this->others -= aLoan.tokens;
    return;
  }
  this->refusedNeed = aNeed;
  const double wait = std::min(aLoan.wait, ToSeconds(this->settings.longestRefusal));
  this->refusedUntil =
    aNow + std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(wait));
}

void
PooledBucket::OnLoanUnanswered(TimePoint aNow)
{
  // Its own part fills faster from some time on: what was earned before is added first
  this->Advance(aNow);
  this->refusedNeed = 0;
  this->refusedUntil = aNow + this->settings.unansweredPause;
  if (!this->unansweredSince || aNow - this->unansweredLast > this->settings.silence) {
    this->unansweredSince = aNow;
  }
  this->unansweredLast = aNow;
}

Loan
PooledBucket::Lend(const LoanRequest& aRequest, TimePoint aNow)
{
  if (this->role == ReserveRole::None || !this->daemons) {
    return {};
  }
  this->Advance(aNow);
  const bool isAmple = this->reserve >= this->ReserveCapacity() * kAmplePart;
  const double most = isAmple ? std::max(aRequest.want, aRequest.need) : aRequest.need;
  const double given = most <= this->reserve ? most : aRequest.need;
  if (given <= this->reserve) {
    this->reserve -= given;
    this->lentNow += given;
    return { given, 0 };
  }
  const double earned = (aRequest.need - this->reserve) / std::max(this->limit.rate, 1.0);
  const double spread = *this->daemons / this->settings.refusalsPerSecond;
  return { 0, std::max({ earned, spread, ToSeconds(this->settings.shortestRefusal) }) };
}

void
PooledBucket::OnInterval(int aDaemons, TimePoint aNow)
{
  this->Advance(aNow);
  std::erase_if(this->peers, [&](const auto& aPeer) {
    return aNow - aPeer.second.heard > this->settings.memory;
  });
  const int count = std::max(aDaemons, 1);
  if (this->daemons == count) {
    return;
  }
  // Alone it holds everything; else what it has beyond its part was borrowed
  const bool wasAlone = this->IsAlone();
  this->daemons = count;
  if (wasAlone) {
    this->own = std::min(this->own, this->OwnCapacity(aNow));
  }
  this->others = std::min(this->others, this->OthersCapacity(aNow));
}

void
PooledBucket::OnPeer(std::uint64_t aPeer, double aTotal, TimePoint aNow, int aDaemons,
                     std::uint64_t aSeries)
{
  this->Advance(aNow);
  const auto known = this->peers.find(aPeer);
  if (known == this->peers.end() || known->second.series != aSeries) {
    this->peers[aPeer] = Peer{ aNow, aTotal, aDaemons, aSeries };
    return;
  }
  // A peer that has started anew counts from zero again
  Peer& peer = known->second;
  this->ChargeOthers(aTotal >= peer.total ? aTotal - peer.total : aTotal);
  peer = Peer{ aNow, aTotal, aDaemons, aSeries };
}

void
PooledBucket::ChargeOthers(double aTokens)
{
  double left = aTokens;
  // Loans were charged when they were given; what seemed to be left over was not
  for (double* paid : { &this->lentBefore, &this->lentNow, &this->surplusNew, &this->surplusOld }) {
    const double part = std::min(left, *paid);
    *paid -= part;
    left -= part;
  }
  this->others = std::max(this->others - left, -this->limit.capacity);
}

} // namespace lagoonward
