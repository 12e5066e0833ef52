#include "Lagoonward/Routing/Router.h"

#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lagoonward {

namespace {

/// Index of the prompt block whose hash determines the home endpoints of its prefix: deep enough to distinguish
/// documents after a common preamble.
constexpr std::size_t kHomeBlock = 31;

constexpr double kSecondsPerHour = 3600;

} // namespace

void
Router::Candidates::Add(std::uint32_t aTarget)
{
  const auto end = this->targets.begin() + static_cast<std::ptrdiff_t>(this->count);
  if (this->count < kMaxCandidates && std::find(this->targets.begin(), end, aTarget) == end) {
    this->targets[this->count++] = aTarget;
  }
}

Router::Router(const RoutingSettings& aSettings, const Clock& aClock, std::uint64_t aSeed)
  : settings(aSettings)
  , clock(aClock)
  , randomState(aSeed)
  , speed(aSettings.speed)
  , prefixes(aSettings.prefix, aClock)
{
}

void
Router::Update(RoutingTablePtr aTable)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();

  // No slow start for the endpoints of the first table: slow start is relative, so it has no effect if all are new
  const TimePoint firstSeen = this->table ? now : now - this->settings.slowStart;
  std::vector<EndpointActivity> newActivities;
  std::unordered_map<std::uint64_t, std::uint32_t> newTargetByKey;
  newActivities.reserve(aTable->Targets().size());
  this->targetByTag.clear();
  this->keyByIdHash.clear();
  for (const RoutingTarget& target : aTable->Targets()) {
    const auto index = static_cast<std::uint32_t>(newActivities.size());
    const EndpointActivity* known = this->FindActivity(target.key);
    newActivities.push_back(known != nullptr ? *known : EndpointActivity(target.key, firstSeen));
    newTargetByKey.emplace(target.key, index);
    this->keyByIdHash.emplace(HashBytes(target.id), target.key);
    this->targetByTag.emplace(PrefixIndex::TagOf(target.key), index);
  }
  for (const EndpointActivity& activity : this->activities) {
    if (newTargetByKey.count(activity.Key()) == 0) {
      this->prefixes.OnReset(activity.Key());
    }
  }

  this->speedIndices.clear();
  for (const std::string& machineClass : aTable->MachineClasses()) {
    this->speedIndices.push_back(this->speed.IndexOf(machineClass));
  }
  for (const RoutingTarget& target : aTable->Targets()) {
    this->speed.ObserveLoad(this->speedIndices[target.machineClass], target.waiting,
                            target.running);
  }
  this->activities = std::move(newActivities);
  this->ownInFlight = std::accumulate(
    this->activities.begin(), this->activities.end(), 0,
    [](int aSum, const EndpointActivity& aActivity) { return aSum + aActivity.InFlight(); });
  this->targetByKey = std::move(newTargetByKey);
  this->table = std::move(aTable);
}

void
Router::SetLiveDaemons(int aCount)
{
  const std::lock_guard lock(this->mutex);
  this->liveDaemons = std::max(aCount, 1);
}

Result<RouteChoice>
Router::Choose(const RouteRequest& aRequest)
{
  const std::lock_guard lock(this->mutex);
  if (!this->table) {
    return Error(ErrorKind::NoConfiguration, "no routing table received yet");
  }
  DecisionContext context;
  const auto group = this->table->FindGroup(aRequest);
  if (!group) {
    return group.error();
  }
  context.group = group.value();
  this->FillContext(aRequest, context);
  Candidates candidates;
  if (aRequest.onlyEndpoint.empty()) {
    this->CollectCandidates(context, candidates);
  } else {
    this->CollectRequired(aRequest.onlyEndpoint, context, candidates);
  }

  // Choose the cheapest endpoint that finishes by the deadline
  const double secondsLeft = ToSeconds(aRequest.deadline - context.now);
  RoutingSettings scoreSettings = this->settings;
  scoreSettings.spread = this->PredictionSpread();
  RouteChoice choice;
  double best = 0;
  double earliest = 0;
  int eligible = 0;
  for (std::size_t index = 0; index < candidates.count; ++index) {
    const std::uint32_t target = candidates.targets[index];
    if (!this->IsEligible(target, aRequest, context.now)) {
      continue;
    }
    const EndpointEstimate estimate = this->EstimateFor(target, context);
    RouteScore score = aRequest.isPlainCall
                         ? this->ScoreCall(target)
                         : ScoreEndpoint(estimate, aRequest, context.rank,
                                         this->table->MeanPricePerSecond(), scoreSettings);
    score.cost.latency = this->WithNoise(score.cost.latency);
    earliest = eligible == 0 ? score.finishSeconds : std::min(earliest, score.finishSeconds);
    ++eligible;
    const double total = score.cost.Total();
    if (score.finishSeconds <= secondsLeft && (choice.scoredEndpoints == 0 || total < best)) {
      best = total;
      choice.endpoint = target;
      choice.cost = score.cost;
      choice.firstTokenSeconds = score.firstTokenSeconds;
      choice.betweenTokensSeconds = score.betweenTokensSeconds;
      choice.cachedTokens = static_cast<int>(estimate.cachedTokens + estimate.fetchedTokens);
      choice.fetchFrom =
        estimate.fetchedTokens > 0 ? this->BestSource(target, context) : std::nullopt;
      choice.scoredEndpoints = 1;
    }
  }
  if (eligible == 0) {
    return Error(ErrorKind::NoEndpoint,
                 fmt::format("no endpoint for {} accepts requests", context.group->name))
      .WithRetryAfter(this->settings.retryAfterFloor);
  }
  if (choice.scoredEndpoints == 0) {
    const auto excess = std::chrono::duration<double>(earliest - secondsLeft);
    const auto wait = std::chrono::duration_cast<Milliseconds>(excess);
    return Error(ErrorKind::DeadlineUnreachable,
                 fmt::format("the earliest predicted response is {} ms after the deadline",
                             wait.count()))
      .WithRetryAfter(std::max(wait, this->settings.retryAfterFloor));
  }
  choice.scoredEndpoints = eligible;
  choice.priority = EnginePriority(context.rank, aRequest.promptTokens - choice.cachedTokens);
  choice.table = this->table;
  return choice;
}

int
Router::CachedTokens(std::string_view aEndpointId, std::span<const std::uint64_t> aBlocks) const
{
  const std::lock_guard lock(this->mutex);
  const std::uint32_t tag = PrefixIndex::TagOf(this->KeyOf(aEndpointId));
  std::array<PrefixHolder, kMaxHolders> holders;
  const PrefixMatch match = this->prefixes.Find(aBlocks, holders);
  for (std::size_t index = 0; index < match.holderCount; ++index) {
    if (holders.at(index).tag == tag) {
      return static_cast<int>(holders.at(index).tokens);
    }
  }
  return 0;
}

void
Router::CollectRequired(std::string_view aEndpointId, const DecisionContext& aContext,
                        Candidates& aCandidates) const
{
  const auto found = this->targetByKey.find(this->KeyOf(aEndpointId));
  if (found != this->targetByKey.end() && aContext.group->Contains(found->second)) {
    aCandidates.Add(found->second);
  }
}

void
Router::FillContext(const RouteRequest& aRequest, DecisionContext& aContext) const
{
  aContext.now = this->clock.Now();
  aContext.rank = this->table->RankOf(aRequest.priority);
  aContext.promptTokens = aRequest.promptTokens;
  if (!aRequest.prefixBlocks.empty()) {
    const PrefixMatch match = this->prefixes.Find(aRequest.prefixBlocks, aContext.holders);
    aContext.holderCount = match.holderCount;
    aContext.prefixUses = match.uses * this->liveDaemons;

    // Drop holders that are no longer in the group, such as leaving endpoints
    auto* const end = std::remove_if(
      aContext.holders.data(), aContext.holders.data() + aContext.holderCount,
      [&](const PrefixHolder& aHolder) {
        const auto found = this->targetByTag.find(aHolder.tag);
        return found == this->targetByTag.end() || !aContext.group->Contains(found->second);
      });
    aContext.holderCount = static_cast<std::size_t>(end - aContext.holders.data());
    this->FindHomes(aRequest, aContext);
  }
}

void
Router::FindHomes(const RouteRequest& aRequest, DecisionContext& aContext) const
{
  // The first distinct endpoints on the hash ring after the position of the prefix
  const auto& ring = aContext.group->ring;
  const std::size_t block = std::min(aRequest.prefixBlocks.size() - 1, kHomeBlock);
  const auto less = [](const RingPoint& aPoint, std::uint64_t aPosition) {
    return aPoint.position < aPosition;
  };
  const auto start =
    std::lower_bound(ring.begin(), ring.end(), aRequest.prefixBlocks[block], less) - ring.begin();
  for (std::size_t step = 0; step < ring.size() && aContext.homeCount < aContext.homes.size();
       ++step) {
    const auto target = ring[(static_cast<std::size_t>(start) + step) % ring.size()].target;
    if (aContext.homeCount == 0 || aContext.homes[0] != target) {
      aContext.homes[aContext.homeCount++] = target;
    }
  }
}

void
Router::CollectCandidates(const DecisionContext& aContext, Candidates& aCandidates)
{
  const auto& members = aContext.group->targets;
  if (members.size() <= std::min(this->settings.fullScanLimit, kMaxCandidates)) {
    for (const std::uint32_t target : members) {
      aCandidates.Add(target);
    }
    return;
  }

  // Holders of the prefix, its home endpoints, and a random sample biased to the cheapest
  for (std::size_t index = 0; index < aContext.holderCount; ++index) {
    aCandidates.Add(this->targetByTag.at(aContext.holders[index].tag));
  }
  for (std::size_t index = 0; index < aContext.homeCount; ++index) {
    aCandidates.Add(aContext.homes[index]);
  }
  for (std::size_t index = 0; index < this->settings.sampleSize; ++index) {
    const std::size_t range = index % 2 == 0 ? members.size() : members.size() / 4;
    aCandidates.Add(members[this->NextRandom() % std::max(range, std::size_t{ 1 })]);
  }
}

bool
Router::IsEligible(std::uint32_t aTarget, const RouteRequest& aRequest, TimePoint aNow) const
{
  const RoutingTarget& target = this->table->Targets()[aTarget];
  const std::string_view domain = this->table->FailureDomains()[target.failureDomain];
  const auto contains = [](std::span<const std::string_view> aList, std::string_view aName) {
    return std::find(aList.begin(), aList.end(), aName) != aList.end();
  };
  return target.live && !contains(aRequest.excludedEndpoints, target.id) &&
         !contains(aRequest.excludedDomains, domain) &&
         this->activities[aTarget].breaker.Allows(this->settings.breaker, aNow);
}

RouteScore
Router::ScoreCall(std::uint32_t aTarget) const
{
  const RoutingTarget& target = this->table->Targets()[aTarget];
  // A new endpoint is assumed to be at least as fast as the average, so that it receives its first calls
  const double learned = this->activities[aTarget].ExpectedCallSeconds();
  const double average = this->totalActivity.ExpectedCallSeconds();
  const double unknown = average > 0 ? std::min(average, this->settings.speed.serviceCallSeconds)
                                     : this->settings.speed.serviceCallSeconds;
  const double call = learned > 0 ? learned : unknown;
  const double concurrency = std::max(target.sequences, 1);
  const double occupancy =
    this->EstimatedSequences(aTarget, this->PeerFactor(target)) / concurrency;
  RouteScore score;
  score.firstTokenSeconds = this->settings.networkSeconds + call * (1 + occupancy);
  score.finishSeconds = score.firstTokenSeconds;
  score.cost.latency = this->table->MeanPricePerSecond() * score.firstTokenSeconds;
  return score;
}

double
Router::WithNoise(double aCost)
{
  const double draw = std::ldexp(static_cast<double>(this->NextRandom() >> 11U), -53);
  return aCost * (1 + this->settings.latencyNoise * draw);
}

double
Router::PeersInFlightAt(const EndpointActivity& aActivity) const
{
  const bool hasPeerCounts = this->peersInFlightAt && this->clock.Now() - *this->peersInFlightAt <=
                                                        this->settings.peerLoadRetention;
  if (hasPeerCounts) {
    return aActivity.PeersInFlight();
  }
  // The distribution of this daemon's requests predicts that of the others better the more requests there are per
  // endpoint
  const double targets = std::max<double>(static_cast<double>(this->activities.size()), 1);
  const double weight =
    this->ownInFlight / (this->ownInFlight + this->settings.peerPrior * targets);
  const double mean = this->ownInFlight / targets;
  return (this->liveDaemons - 1) * (weight * aActivity.InFlight() + (1 - weight) * mean);
}

double
Router::PeerFactor(const RoutingTarget& aTarget) const
{
  // The other daemons apply the same rules to the same reports. This daemon's dispatches predict where the others have
  // dispatched the better, the more of them there are per endpoint
  const double unreported = this->totalActivity.DispatchedSince(aTarget.asOf);
  const double prior =
    this->settings.peerPrior * static_cast<double>(this->table->Targets().size());
  return unreported > 0 ? 1 + (this->liveDaemons - 1) * unreported / (unreported + prior) : 1;
}

double
Router::PredictionSpread() const
{
  const double widening = 1 + this->settings.peerSpread * (this->liveDaemons - 1);
  return this->settings.spread * std::min(widening, 2.0);
}

double
Router::EstimatedSequences(std::uint32_t aTarget, double aPeerFactor) const
{
  const RoutingTarget& target = this->table->Targets()[aTarget];
  const EndpointActivity& activity = this->activities[aTarget];
  if (!target.reportsLoad) {
    return activity.InFlight() + this->PeersInFlightAt(activity);
  }
  const double reported = target.waiting + target.running;
  const double since = activity.InFlightChangeSince(target.asOf) * aPeerFactor;
  return std::max<double>(reported + since, activity.InFlight());
}

EndpointEstimate
Router::EstimateFor(std::uint32_t aTarget, const DecisionContext& aContext) const
{
  const RoutingTarget& target = this->table->Targets()[aTarget];
  const EndpointActivity& activity = this->activities[aTarget];
  EndpointEstimate estimate;
  estimate.speed = this->speed.Get(this->speedIndices[target.machineClass]);
  if (target.sequences > 0) {
    estimate.speed.sequences = target.sequences;
  }
  estimate.pricePerSecond = target.pricePerSecond;
  const double peers = this->PeerFactor(target);
  estimate.sequences = this->EstimatedSequences(aTarget, peers);
  estimate.mayPreempt = this->settings.ranksPreempt && aContext.rank > 0;
  if (target.reclaimable) {
    const double perHour = this->table->IsLeaving(target.failureDomain)
                             ? this->settings.leavingDomainReclaimsPerHour
                             : this->settings.reclaimsPerHour;
    estimate.reclaimsPerSecond = perHour / kSecondsPerHour;
  }

  estimate.prefixUses = aContext.prefixUses;
  const auto tag = PrefixIndex::TagOf(target.key);
  for (std::size_t index = 0; index < aContext.holderCount; ++index) {
    estimate.bestCachedTokens = std::max(estimate.bestCachedTokens, aContext.holders[index].tokens);
    if (aContext.holders[index].tag == tag) {
      estimate.cachedTokens = aContext.holders[index].tokens;
    }
  }
  for (std::size_t index = 0; index < aContext.homeCount; ++index) {
    if (aContext.homes[index] == aTarget) {
      estimate.homeWeight = 1.0 / static_cast<double>(index + 1);
    }
  }
  this->EstimateFetch(aTarget, aContext, estimate);
  const double reused = estimate.cachedTokens + estimate.fetchedTokens;
  const int priority = EnginePriority(aContext.rank, aContext.promptTokens - reused);
  estimate.queuedPrefillTokens = activity.PrefillPending(priority) * peers;
  const double age = ToSeconds(aContext.now - activity.FirstSeen());
  estimate.slowStartFactor = std::max(1 - age / ToSeconds(this->settings.slowStart), 0.0);
  return estimate;
}

std::optional<std::uint32_t>
Router::BestSource(std::uint32_t aTarget, const DecisionContext& aContext) const
{
  const RoutingTarget& target = this->table->Targets()[aTarget];
  std::optional<std::uint32_t> best;
  double bestTokens = 0;
  for (std::size_t index = 0; index < aContext.holderCount; ++index) {
    const PrefixHolder& holder = aContext.holders[index];
    const std::uint32_t source = this->targetByTag.at(holder.tag);
    // The memory of one software version means nothing to another
    const bool fits = this->table->Targets()[source].software == target.software;
    if (fits && source != aTarget && holder.tokens > bestTokens) {
      best = source;
      bestTokens = holder.tokens;
    }
  }
  return best;
}

void
Router::EstimateFetch(std::uint32_t aTarget, const DecisionContext& aContext,
                      EndpointEstimate& aEstimate) const
{
  const double perToken = this->table->Targets()[aTarget].fetchSecondsPerToken;
  const bool isFast = perToken > 0 && perToken <= aEstimate.speed.prefillSecondsPerToken *
                                                    this->settings.maxFetchTimeRatio;
  const auto source = isFast ? this->BestSource(aTarget, aContext) : std::nullopt;
  if (!source) {
    return;
  }
  const auto tag = PrefixIndex::TagOf(this->table->Targets()[*source].key);
  const auto end = aContext.holders.begin() + static_cast<std::ptrdiff_t>(aContext.holderCount);
  const auto holder = std::find_if(aContext.holders.begin(), end,
                                   [&](const PrefixHolder& aHolder) { return aHolder.tag == tag; });
  const double missingTokens = holder->tokens - aEstimate.cachedTokens;
  if (missingTokens >= this->settings.minFetchedTokens) {
    aEstimate.fetchedTokens = missingTokens;
    aEstimate.fetchSecondsPerToken = perToken;
  }
}

int
Router::RankOf(int aPriority) const
{
  const std::lock_guard lock(this->mutex);
  return this->table ? this->table->RankOf(aPriority) : 0;
}

bool
Router::IsAllowed(std::string_view aEndpointId) const
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->targetByKey.find(this->KeyOf(aEndpointId));
  return found == this->targetByKey.end() ||
         this->activities[found->second].breaker.Allows(this->settings.breaker, this->clock.Now());
}

std::uint64_t
Router::KeyOf(std::string_view aEndpointId) const
{
  const std::uint64_t hash = HashBytes(aEndpointId);
  const auto found = this->keyByIdHash.find(hash);
  return found == this->keyByIdHash.end() ? hash : found->second;
}

EndpointActivity*
Router::FindActivity(std::uint64_t aKey)
{
  const auto found = this->targetByKey.find(aKey);
  return found == this->targetByKey.end() ? nullptr : &this->activities[found->second];
}

std::uint64_t
Router::NextRandom()
{
  // splitmix64
  this->randomState += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = this->randomState;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

} // namespace lagoonward
