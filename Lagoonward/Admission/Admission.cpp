#include "Lagoonward/Admission/Admission.h"

#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace lagoonward {

namespace {

/// Weight of the newest request in the averaged duration.
constexpr double kDurationWeight = 0.05;

/// Stands for all other daemons together where a peer is named by its key.
constexpr std::uint64_t kOthers = 0;

} // namespace

Ticket::Ticket(Admission& aAdmission, std::uint64_t aClient, const AdmissionRequest& aRequest)
  : admission(&aAdmission)
  , client(aClient)
  , rank(aRequest.rank)
  , estimated(aRequest.tokens)
  , used(aRequest.tokens)
  , admittedAt(aAdmission.clock.Now())
{
}

Ticket::Ticket(Ticket&& aOther) noexcept
  : admission(std::exchange(aOther.admission, nullptr))
  , client(aOther.client)
  , rank(aOther.rank)
  , estimated(aOther.estimated)
  , used(aOther.used)
  , admittedAt(aOther.admittedAt)
{
}

Ticket&
Ticket::operator=(Ticket&& aOther) noexcept
{
  if (this != &aOther) {
    this->Release();
    this->admission = std::exchange(aOther.admission, nullptr);
    this->client = aOther.client;
    this->rank = aOther.rank;
    this->estimated = aOther.estimated;
    this->used = aOther.used;
    this->admittedAt = aOther.admittedAt;
  }
  return *this;
}

Ticket::~Ticket()
{
  this->Release();
}

void
Ticket::ReportTargets(bool aMet)
{
  if (this->admission != nullptr) {
    this->admission->OnTargets(this->rank, aMet);
  }
}

void
Ticket::Settle(double aTokens)
{
  this->used = aTokens;
}

void
Ticket::Release()
{
  if (this->admission != nullptr) {
    this->admission->Finish(this->client, this->estimated, this->used, this->admittedAt);
    this->admission = nullptr;
  }
}

Admission::Admission(const AdmissionSettings& aSettings, const Clock& aClock, std::uint64_t aSeed)
  : settings(aSettings)
  , clock(aClock)
  , random(aSeed)
  , view(aSettings, aClock)
  , sentAt(aClock.Now())
{
}

void
Admission::Configure(const Manifest& aManifest)
{
  const std::lock_guard lock(this->mutex);
  std::vector<Client> next;
  for (const ManifestClient& limits : aManifest.clients) {
    const std::uint64_t key = HashBytes(limits.name);
    const Client* known = this->Find(key);
    Client client = known != nullptr ? *known : Client{};
    client.limits = limits;
    client.key = key;
    this->Refresh(client);
    if (known == nullptr) {
      client.available = this->BucketOf(client);
      client.filledAt = this->clock.Now();
    }
    if (this->settings.pooled) {
      this->ConfigurePool(client);
    }
    next.push_back(std::move(client));
  }
  this->clients = std::move(next);
}

void
Admission::SetPressure(double aPressure)
{
  const std::lock_guard lock(this->mutex);
  this->pressure = aPressure;
}

void
Admission::SetDaemons(int aCount)
{
  const std::lock_guard lock(this->mutex);
  const bool isFirst = this->knownDaemons == 0;
  this->knownDaemons = std::max(aCount, 1);
  if (isFirst) {
    for (Client& client : this->clients) {
      this->BeginPoolInterval(client);
    }
  }
}

void
Admission::SetReserves(std::function<ReserveRole(std::uint64_t aClient)> aRoleOf)
{
  const std::lock_guard lock(this->mutex);
  this->roleOf = std::move(aRoleOf);
  for (Client& client : this->clients) {
    if (client.pool) {
      client.pool->SetRole(this->roleOf(client.key), this->clock.Now());
    }
  }
}

std::optional<LoanRequest>
Admission::WantedLoan(const AdmissionRequest& aRequest)
{
  const std::lock_guard lock(this->mutex);
  Client* client = this->Find(HashBytes(aRequest.client));
  if (client == nullptr || !client->pool || client->limits.tokensPerSecond <= 0) {
    return std::nullopt;
  }
  auto wanted = client->pool->WantedLoan(aRequest.tokens, this->clock.Now());
  if (wanted) {
    wanted->client = client->key;
    wanted->account = client->limits.name;
  }
  return wanted;
}

Loan
Admission::Lend(const LoanRequest& aRequest)
{
  const std::lock_guard lock(this->mutex);
  Client* client = this->Find(aRequest.client);
  return client != nullptr && client->pool ? client->pool->Lend(aRequest, this->clock.Now())
                                           : Loan{};
}

void
Admission::OnLoan(const LoanRequest& aRequest, const std::optional<Loan>& aLoan)
{
  const std::lock_guard lock(this->mutex);
  Client* client = this->Find(aRequest.client);
  if (client == nullptr || !client->pool) {
    return;
  }
  if (aLoan) {
    client->pool->OnLoan(*aLoan, aRequest.need, this->clock.Now());
  } else {
    client->pool->OnLoanUnanswered(this->clock.Now());
  }
}

Result<Ticket>
Admission::Admit(const AdmissionRequest& aRequest)
{
  const std::lock_guard lock(this->mutex);
  Client* client = this->Find(HashBytes(aRequest.client));
  if (client == nullptr) {
    return Error(ErrorKind::Unauthorized, "the manifest names no such client");
  }
  client->asked += aRequest.tokens;
  if (auto allowed = this->CheckLimits(*client, aRequest); !allowed) {
    return allowed.error();
  }
  if (auto allowed = this->CheckPressure(*client, aRequest.rank); !allowed) {
    return allowed.error();
  }
  client->available -= aRequest.tokens;
  client->running++;
  return Ticket(*this, client->key, aRequest);
}

Result<void>
Admission::CheckLimits(Client& aClient, const AdmissionRequest& aRequest)
{
  if (aClient.limits.concurrent > 0 && aClient.running >= aClient.runningLimit) {
    return Error(ErrorKind::ClientOverLimit,
                 fmt::format("client {} runs as many requests as it may", aClient.limits.name))
      .WithRetryAfter(this->Bounded(this->meanSeconds / std::max(aClient.running, 1)));
  }
  if (aClient.limits.tokensPerSecond <= 0) {
    return boost::outcome_v2::success();
  }

  if (aClient.pool) {
    const double seconds = aClient.pool->Take(aRequest.tokens, this->clock.Now());
    if (seconds > 0) {
      return this->OverLimit(aClient, seconds);
    }
    return boost::outcome_v2::success();
  }

  // A request larger than the bucket passes when the bucket is full, and is paid off afterwards
  this->Fill(aClient);
  const double rate = this->RateOf(aClient);
  const double needed = std::min(aRequest.tokens, this->BucketOf(aClient));
  if (aClient.available < needed) {
    return this->OverLimit(aClient, (needed - aClient.available) / rate);
  }
  return boost::outcome_v2::success();
}

Error
Admission::OverLimit(const Client& aClient, double aSeconds) const
{
  return Error(ErrorKind::ClientOverLimit,
               fmt::format("client {} uses as many tokens as it may", aClient.limits.name))
    .WithRetryAfter(this->Bounded(aSeconds));
}

void
Admission::ConfigurePool(Client& aClient) const
{
  const TimePoint now = this->clock.Now();
  if (!aClient.pool) {
    aClient.pool.emplace(this->settings.pool, now);
  }
  const double more = 1 + this->settings.limitTolerance;
  aClient.pool->Configure({ aClient.limits.tokensPerSecond * more,
                            aClient.limits.burstTokens * more, this->settings.limitSlack },
                          now);
  aClient.pool->SetRole(this->roleOf(aClient.key), now);
  this->BeginPoolInterval(aClient);
}

void
Admission::BeginPoolInterval(Client& aClient) const
{
  const int heard = this->view.LiveDaemons();
  const bool isKnown = this->knownDaemons > 0 || heard > 1;
  if (aClient.pool && isKnown) {
    aClient.pool->OnInterval(std::max(heard, this->knownDaemons), this->clock.Now());
  }
}

Result<void>
Admission::CheckPressure(const Client& aClient, int aRank)
{
  // Shed a growing part, not all at once: reports lag, and a hard limit would swing
  const double usual = this->settings.shedFrom + this->settings.shedRankStep * aRank -
                       this->settings.shedFairness * this->OverUse(aClient);
  const double shifted = usual - this->settings.missShift * this->MissPart(aRank);
  const double from = std::min(std::max(shifted, this->settings.missFloor), usual);
  const double part = std::clamp((this->pressure - from) / this->settings.shedWidth, 0.0, 1.0);
  this->random = CombineHashes(this->random, 1);
  const double draw = std::ldexp(static_cast<double>(this->random >> 11U), -53);
  if (draw >= part) {
    return boost::outcome_v2::success();
  }
  const double excess = std::max(this->pressure - from, 0.0);
  return Error(ErrorKind::Overloaded, "the endpoints are full")
    .WithRetryAfter(this->Bounded(this->meanSeconds * std::min(excess, 1.0)));
}

void
Admission::OnTargets(int aRank, bool aMet)
{
  const std::lock_guard lock(this->mutex);
  double& part = this->misses[std::min(static_cast<std::size_t>(aRank), kRanks - 1)];
  part += this->settings.missWeight * ((aMet ? 0 : 1) - part);
}

double
Admission::MissPart(int aRank) const
{
  // Its own misses count half: shedding some of the rank saves the rest of it
  double most = this->misses[std::min(static_cast<std::size_t>(aRank), kRanks - 1)] / 2;
  for (auto rank = static_cast<std::size_t>(aRank) + 1; rank < kRanks; ++rank) {
    most = std::max(most, this->misses[rank]);
  }
  return std::min(most / this->settings.missFull, 1.0);
}

double
Admission::OverUse(const Client& aClient) const
{
  // Its part of all running requests against its part of the weights of those who run any
  double weights = 0;
  double running = 0;
  for (const Client& client : this->clients) {
    const int count = client.running + client.runningAtPeers;
    weights += count > 0 || client.key == aClient.key ? client.limits.weight : 0;
    running += count;
  }
  if (running <= 0 || weights <= 0) {
    return 0;
  }
  const double part = (aClient.running + aClient.runningAtPeers) / running;
  const double fair = aClient.limits.weight / weights;
  return std::clamp(part / fair - 1, -1.0, 1.0);
}

std::vector<ClientDemand>
Admission::TakeDemand()
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  const double seconds = ToSeconds(now - this->sentAt);
  this->sentAt = now;

  // Exponential average over the window
  const double window = ToSeconds(this->settings.demandWindow);
  const double weight = 1 - std::exp(-seconds / window);
  std::vector<ClientDemand> demand;
  for (Client& client : this->clients) {
    if (seconds > 0) {
      client.demand += weight * (client.asked / seconds - client.demand);
      client.asked = 0;
    }
    demand.push_back({ client.key, client.demand, client.running,
                       client.pool ? client.pool->AdmittedTotal() : 0 });
  }
  for (Client& client : this->clients) {
    this->BeginPoolInterval(client);
  }
  this->view.OnOwnSent(demand);
  for (Client& client : this->clients) {
    this->Refresh(client);
  }
  return demand;
}

void
Admission::OnPeer(std::uint64_t aDaemon, std::span<const ClientDemand> aDemand)
{
  const std::lock_guard lock(this->mutex);
  this->TakePeer(aDaemon, aDemand, 1, 0);
}

void
Admission::OnOthers(const DemandOfOthers& aOthers)
{
  const std::lock_guard lock(this->mutex);
  this->TakePeer(kOthers, aOthers.demand, aOthers.daemons, aOthers.series);
  // That nobody has asked for a client is known, too
  std::vector<std::uint64_t> named;
  named.reserve(aOthers.demand.size());
  for (const ClientDemand& demand : aOthers.demand) {
    named.push_back(demand.client);
  }
  std::sort(named.begin(), named.end());
  for (Client& client : this->clients) {
    if (client.pool && !std::binary_search(named.begin(), named.end(), client.key)) {
      client.pool->OnPeer(kOthers, 0, this->clock.Now(), aOthers.daemons, aOthers.series);
    }
  }
}

void
Admission::TakePeer(std::uint64_t aPeer, std::span<const ClientDemand> aDemand, int aDaemons,
                    std::uint64_t aSeries)
{
  this->view.OnPeer(aPeer, aDemand, aDaemons);
  for (const ClientDemand& demand : aDemand) {
    Client* client = this->Find(demand.client);
    if (client != nullptr && client->pool) {
      client->pool->OnPeer(aPeer, demand.admittedTotal, this->clock.Now(), aDaemons, aSeries);
    }
  }
}

void
Admission::Refresh(Client& aClient) const
{
  // Until the next heartbeat this daemon may add its part of the free places, rounded up: all
  // daemons together exceed the limit by less than one place each
  this->Fill(aClient);
  const ClientShare share = this->view.ShareOf(aClient.key);
  aClient.share = share.share;
  aClient.runningAtPeers = share.runningAtPeers;
  const int free = aClient.limits.concurrent - aClient.running - aClient.runningAtPeers;
  const double part = std::ceil(std::max(free, 0) * aClient.share);
  aClient.runningLimit = aClient.running + static_cast<int>(part);
}

void
Admission::Fill(Client& aClient) const
{
  const TimePoint now = this->clock.Now();
  const double rate = this->RateOf(aClient);
  const double earned = rate * ToSeconds(now - aClient.filledAt);
  aClient.available = std::min(aClient.available + earned, this->BucketOf(aClient));
  aClient.filledAt = now;
}

double
Admission::BucketOf(const Client& aClient) const
{
  const double whole = aClient.limits.burstTokens > 0
                         ? aClient.limits.burstTokens
                         : aClient.limits.tokensPerSecond * this->settings.burstSeconds;
  return (whole * (1 + this->settings.limitTolerance) + this->settings.limitSlack) * aClient.share;
}

double
Admission::RateOf(const Client& aClient) const
{
  return aClient.limits.tokensPerSecond * (1 + this->settings.limitTolerance) * aClient.share;
}

void
Admission::Finish(std::uint64_t aClient, double aEstimated, double aUsed, TimePoint aAdmittedAt)
{
  const std::lock_guard lock(this->mutex);
  const double seconds = ToSeconds(this->clock.Now() - aAdmittedAt);
  this->meanSeconds += kDurationWeight * (seconds - this->meanSeconds);
  Client* client = this->Find(aClient);
  if (client != nullptr) {
    client->running = std::max(client->running - 1, 0);
    client->available += aEstimated - aUsed;
  }
}

Admission::Client*
Admission::Find(std::uint64_t aKey)
{
  const auto found = std::find_if(this->clients.begin(), this->clients.end(),
                                  [&](const Client& aClient) { return aClient.key == aKey; });
  return found == this->clients.end() ? nullptr : &*found;
}

Milliseconds
Admission::Bounded(double aSeconds) const
{
  const std::chrono::duration<double> wait(aSeconds);
  return std::clamp(std::chrono::duration_cast<Milliseconds>(wait), this->settings.retryAfterFloor,
                    this->settings.retryAfterCeiling);
}

} // namespace lagoonward
