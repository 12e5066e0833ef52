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

/// Peer key of the aggregated demand of all other daemons.
constexpr std::uint64_t kAggregatedPeers = 0;

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
    this->admission->RecordTargets(this->rank, aMet);
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
  , randomState(aSeed)
  , demandView(aSettings, aClock)
  , demandTakenAt(aClock.Now())
{
}

void
Admission::Configure(const Manifest& aManifest)
{
  const std::lock_guard lock(this->mutex);
  std::vector<Client> next;
  for (const ManifestClient& limits : aManifest.clients) {
    const std::uint64_t key = HashBytes(limits.name);
    const Client* known = this->FindClient(key);
    Client client = known != nullptr ? *known : Client{};
    client.limits = limits;
    client.key = key;
    this->RefreshLimits(client);
    if (known == nullptr) {
      client.availableTokens = this->BucketCapacity(client);
      client.refilledAt = this->clock.Now();
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
Admission::SetDaemonCount(int aCount)
{
  const std::lock_guard lock(this->mutex);
  const bool isFirst = this->daemonCount == 0;
  this->daemonCount = std::max(aCount, 1);
  if (isFirst) {
    for (Client& client : this->clients) {
      this->UpdatePoolDaemonCount(client);
    }
  }
}

bool
Admission::KnowsDaemonCount()
{
  const std::lock_guard lock(this->mutex);
  return this->daemonCount > 0;
}

void
Admission::SetReserveRoles(std::function<ReserveRole(std::uint64_t aClient)> aRoleOf)
{
  const std::lock_guard lock(this->mutex);
  this->reserveRoleOf = std::move(aRoleOf);
  for (Client& client : this->clients) {
    if (client.pool) {
      client.pool->SetReserveRole(this->reserveRoleOf(client.key), this->clock.Now());
    }
  }
}

std::optional<LimitTokenRequest>
Admission::MakeTokenRequest(const AdmissionRequest& aRequest)
{
  const std::lock_guard lock(this->mutex);
  Client* client = this->FindClient(HashBytes(aRequest.client));
  if (client == nullptr || !client->pool || client->limits.tokensPerSecond <= 0) {
    return std::nullopt;
  }
  return Identified(
    client->pool->MakeTokenRequest(aRequest.tokens, this->clock.Now(), aRequest.use), *client);
}

std::optional<LimitTokenRequest>
Admission::Identified(std::optional<LimitTokenRequest> aRequest, const Client& aClient)
{
  if (aRequest) {
    aRequest->client = aClient.key;
    aRequest->account = aClient.limits.name;
  }
  return aRequest;
}

std::optional<LimitTokenRequest>
Admission::ChargeRepeat(const AdmissionRequest& aRequest)
{
  const std::lock_guard lock(this->mutex);
  Client* client = this->FindClient(HashBytes(aRequest.client));
  if (client == nullptr || !client->pool || client->limits.tokensPerSecond <= 0) {
    return std::nullopt;
  }
  return Identified(client->pool->ChargeRepeat(aRequest.tokens, this->clock.Now()), *client);
}

LimitTokenGrant
Admission::GrantTokens(const LimitTokenRequest& aRequest)
{
  const std::lock_guard lock(this->mutex);
  Client* client = this->FindClient(aRequest.client);
  return client != nullptr && client->pool ? client->pool->GrantTokens(aRequest, this->clock.Now())
                                           : LimitTokenGrant{};
}

void
Admission::OnTokenGrant(const LimitTokenRequest& aRequest,
                        const std::optional<LimitTokenGrant>& aGrant)
{
  const std::lock_guard lock(this->mutex);
  Client* client = this->FindClient(aRequest.client);
  if (client == nullptr || !client->pool) {
    return;
  }
  if (aGrant) {
    client->pool->OnTokenGrant(*aGrant, aRequest.neededTokens, this->clock.Now(), aRequest.use);
  } else {
    client->pool->OnTokenRequestTimeout(this->clock.Now());
  }
}

Result<Ticket>
Admission::Admit(const AdmissionRequest& aRequest)
{
  const std::lock_guard lock(this->mutex);
  Client* client = this->FindClient(HashBytes(aRequest.client));
  if (client == nullptr) {
    return Error(ErrorKind::Unauthorized, "client account is not in the manifest");
  }
  client->requestedTokens += aRequest.tokens;
  if (auto allowed = this->CheckLimits(*client, aRequest); !allowed) {
    return allowed.error();
  }
  if (auto allowed = this->CheckPressure(*client, aRequest.rank); !allowed) {
    return allowed.error();
  }
  client->availableTokens -= aRequest.tokens;
  client->running++;
  return Ticket(*this, client->key, aRequest);
}

Result<void>
Admission::CheckLimits(Client& aClient, const AdmissionRequest& aRequest)
{
  if (aClient.limits.concurrent > 0 && aClient.running >= aClient.runningLimit) {
    return Error(ErrorKind::ClientOverLimit,
                 fmt::format("client {} has reached its limit of concurrent requests",
                             aClient.limits.name))
      .WithRetryAfter(
        this->ClampRetryAfter(this->meanRequestSeconds / std::max(aClient.running, 1)));
  }
  if (aClient.limits.tokensPerSecond <= 0) {
    return boost::outcome_v2::success();
  }

  if (aClient.pool) {
    const double seconds =
      aClient.pool->TryConsume(aRequest.tokens, this->clock.Now(), aRequest.use);
    if (seconds > 0) {
      return this->MakeTokenLimitError(aClient, seconds);
    }
    return boost::outcome_v2::success();
  }

  // A request larger than the bucket is admitted if the bucket is full; the overdraft is refilled afterwards
  this->Refill(aClient);
  const double rate = this->RefillRate(aClient);
  const double needed = std::min(aRequest.tokens, this->BucketCapacity(aClient));
  if (aClient.availableTokens < needed) {
    return this->MakeTokenLimitError(aClient, (needed - aClient.availableTokens) / rate);
  }
  return boost::outcome_v2::success();
}

Error
Admission::MakeTokenLimitError(const Client& aClient, double aSeconds) const
{
  return Error(ErrorKind::ClientOverLimit,
               fmt::format("client {} has reached its token rate limit", aClient.limits.name))
    .WithRetryAfter(this->ClampRetryAfter(aSeconds));
}

void
Admission::ConfigurePool(Client& aClient) const
{
  const TimePoint now = this->clock.Now();
  if (!aClient.pool) {
    aClient.pool.emplace(this->settings.pool, now);
  }
  const double factor = 1 + this->settings.limitTolerance;
  aClient.pool->Configure({ aClient.limits.tokensPerSecond * factor,
                            aClient.limits.burstTokens * factor, this->settings.limitSlack },
                          now);
  aClient.pool->SetReserveRole(this->reserveRoleOf(aClient.key), now);
  this->UpdatePoolDaemonCount(aClient);
}

void
Admission::UpdatePoolDaemonCount(Client& aClient) const
{
  // The daemons that have reported demand are too few after a restart of all
  if (aClient.pool && this->daemonCount > 0) {
    const int reported = this->demandView.LiveDaemons();
    aClient.pool->OnSendInterval(std::max(reported, this->daemonCount), this->clock.Now());
  }
}

Result<void>
Admission::CheckPressure(const Client& aClient, int aRank)
{
  // The shed fraction grows with the pressure: reports lag, and a hard threshold would make the load oscillate
  const double baseThreshold = this->settings.shedFrom + this->settings.shedRankStep * aRank -
                               this->settings.shedFairness * this->FairShareExcess(aClient);
  const double loweredThreshold =
    baseThreshold - this->settings.missShift * this->MissShiftFraction(aRank);
  const double effectiveThreshold =
    std::min(std::max(loweredThreshold, this->settings.missFloor), baseThreshold);
  const double shedFraction =
    std::clamp((this->pressure - effectiveThreshold) / this->settings.shedWidth, 0.0, 1.0);
  this->randomState = CombineHashes(this->randomState, 1);
  const double sample = std::ldexp(static_cast<double>(this->randomState >> 11U), -53);
  if (sample >= shedFraction) {
    return boost::outcome_v2::success();
  }
  const double excess = std::max(this->pressure - effectiveThreshold, 0.0);
  return Error(ErrorKind::Overloaded, "the endpoints are at capacity")
    .WithRetryAfter(this->ClampRetryAfter(this->meanRequestSeconds * std::min(excess, 1.0)));
}

void
Admission::RecordTargets(int aRank, bool aMet)
{
  const std::lock_guard lock(this->mutex);
  double& ratio = this->missRatios[std::min(static_cast<std::size_t>(aRank), kRanks - 1)];
  ratio += this->settings.missWeight * ((aMet ? 0 : 1) - ratio);
}

double
Admission::MissShiftFraction(int aRank) const
{
  // Misses of the rank itself count half: shedding some of its requests lets the others meet their targets
  double highest = this->missRatios[std::min(static_cast<std::size_t>(aRank), kRanks - 1)] / 2;
  for (auto rank = static_cast<std::size_t>(aRank) + 1; rank < kRanks; ++rank) {
    highest = std::max(highest, this->missRatios[rank]);
  }
  return std::min(highest / this->settings.missFull, 1.0);
}

double
Admission::FairShareExcess(const Client& aClient) const
{
  // Compares the client's fraction of all running requests with its fraction of the weights of clients with running
  // requests
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
  const double fraction = (aClient.running + aClient.runningAtPeers) / running;
  const double fairFraction = aClient.limits.weight / weights;
  return std::clamp(fraction / fairFraction - 1, -1.0, 1.0);
}

std::vector<ClientDemand>
Admission::CollectDemand()
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  const double seconds = ToSeconds(now - this->demandTakenAt);
  this->demandTakenAt = now;

  // Exponential average over the window
  const double window = ToSeconds(this->settings.demandWindow);
  const double weight = 1 - std::exp(-seconds / window);
  std::vector<ClientDemand> demand;
  for (Client& client : this->clients) {
    if (seconds > 0) {
      client.averageDemand += weight * (client.requestedTokens / seconds - client.averageDemand);
      client.requestedTokens = 0;
    }
    demand.push_back({ client.key, client.averageDemand, client.running,
                       client.pool ? client.pool->AdmittedTotal() : 0 });
  }
  for (Client& client : this->clients) {
    this->UpdatePoolDaemonCount(client);
  }
  this->demandView.OnOwnDemandSent(demand);
  for (Client& client : this->clients) {
    this->RefreshLimits(client);
  }
  return demand;
}

void
Admission::OnPeerDemand(std::uint64_t aDaemon, std::span<const ClientDemand> aDemand)
{
  const std::lock_guard lock(this->mutex);
  this->ApplyPeerDemand(aDaemon, aDemand, 1, 0);
}

void
Admission::OnAggregatedDemand(const AggregatedDemand& aOthers)
{
  const std::lock_guard lock(this->mutex);
  this->ApplyPeerDemand(kAggregatedPeers, aOthers.demand, aOthers.daemons, aOthers.series);
  // A client that is missing from the aggregated demand has a total of zero at all other daemons
  std::vector<std::uint64_t> listed;
  listed.reserve(aOthers.demand.size());
  for (const ClientDemand& demand : aOthers.demand) {
    listed.push_back(demand.client);
  }
  std::sort(listed.begin(), listed.end());
  for (Client& client : this->clients) {
    if (client.pool && !std::binary_search(listed.begin(), listed.end(), client.key)) {
      client.pool->OnPeerTotal(kAggregatedPeers, 0, this->clock.Now(), aOthers.daemons,
                               aOthers.series);
    }
  }
}

void
Admission::ApplyPeerDemand(std::uint64_t aPeer, std::span<const ClientDemand> aDemand, int aDaemons,
                           std::uint64_t aSeries)
{
  this->demandView.OnPeerDemand(aPeer, aDemand, aDaemons);
  for (const ClientDemand& demand : aDemand) {
    Client* client = this->FindClient(demand.client);
    if (client != nullptr && client->pool) {
      client->pool->OnPeerTotal(aPeer, demand.admittedTotal, this->clock.Now(), aDaemons, aSeries);
    }
  }
}

void
Admission::RefreshLimits(Client& aClient) const
{
  // Until the next heartbeat this daemon may use its share of the free slots, rounded up: all daemons together exceed
  // the limit by less than one slot each
  this->Refill(aClient);
  const ClientShare share = this->demandView.ShareOf(aClient.key);
  aClient.rateShare = share.rateShare;
  aClient.runningAtPeers = share.runningAtPeers;
  const int freeSlots = aClient.limits.concurrent - aClient.running - aClient.runningAtPeers;
  const double addedSlots = std::ceil(std::max(freeSlots, 0) * aClient.rateShare);
  aClient.runningLimit = aClient.running + static_cast<int>(addedSlots);
}

void
Admission::Refill(Client& aClient) const
{
  const TimePoint now = this->clock.Now();
  const double rate = this->RefillRate(aClient);
  const double refilledTokens = rate * ToSeconds(now - aClient.refilledAt);
  aClient.availableTokens =
    std::min(aClient.availableTokens + refilledTokens, this->BucketCapacity(aClient));
  aClient.refilledAt = now;
}

double
Admission::BucketCapacity(const Client& aClient) const
{
  const double capacity = aClient.limits.burstTokens > 0
                            ? aClient.limits.burstTokens
                            : aClient.limits.tokensPerSecond * this->settings.burstSeconds;
  return (capacity * (1 + this->settings.limitTolerance) + this->settings.limitSlack) *
         aClient.rateShare;
}

double
Admission::RefillRate(const Client& aClient) const
{
  return aClient.limits.tokensPerSecond * (1 + this->settings.limitTolerance) * aClient.rateShare;
}

void
Admission::Finish(std::uint64_t aClient, double aEstimated, double aUsed, TimePoint aAdmittedAt)
{
  const std::lock_guard lock(this->mutex);
  const double seconds = ToSeconds(this->clock.Now() - aAdmittedAt);
  this->meanRequestSeconds += kDurationWeight * (seconds - this->meanRequestSeconds);
  Client* client = this->FindClient(aClient);
  if (client != nullptr) {
    client->running = std::max(client->running - 1, 0);
    client->availableTokens += aEstimated - aUsed;
  }
}

Admission::Client*
Admission::FindClient(std::uint64_t aKey)
{
  const auto found = std::find_if(this->clients.begin(), this->clients.end(),
                                  [&](const Client& aClient) { return aClient.key == aKey; });
  return found == this->clients.end() ? nullptr : &*found;
}

Milliseconds
Admission::ClampRetryAfter(double aSeconds) const
{
  const std::chrono::duration<double> wait(aSeconds);
  return std::clamp(std::chrono::duration_cast<Milliseconds>(wait), this->settings.retryAfterFloor,
                    this->settings.retryAfterCeiling);
}

} // namespace lagoonward
