#include "Lagoonward/Routing/Router.h"

#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lagoonward {

namespace {

/// Block of the prompt that names its prefix when a home is looked for: deep enough to tell documents
/// behind a common preamble apart.
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
  , random(aSeed)
  , speed(aSettings.speed)
  , prefixes(aSettings.prefix, aClock)
{
}

void
Router::Update(RoutingTablePtr aTable)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();

  // Endpoints of the very first table are as old as can be: all starting slowly would mean none does
  const TimePoint firstSeen = this->table ? now : now - this->settings.slowStart;
  std::vector<EndpointActivity> kept;
  std::unordered_map<std::uint64_t, std::uint32_t> places;
  kept.reserve(aTable->Targets().size());
  this->tags.clear();
  this->lives.clear();
  for (const RoutingTarget& target : aTable->Targets()) {
    const auto index = static_cast<std::uint32_t>(kept.size());
    const EndpointActivity* known = this->FindActivity(target.key);
    kept.push_back(known != nullptr ? *known : EndpointActivity(target.key, firstSeen));
    places.emplace(target.key, index);
    this->lives.emplace(HashBytes(target.id), target.key);
    this->tags.emplace(PrefixIndex::TagOf(target.key), index);
  }
  for (const EndpointActivity& activity : this->activities) {
    if (places.count(activity.Key()) == 0) {
      this->prefixes.OnGone(activity.Key());
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
  this->activities = std::move(kept);
  this->ownInFlight = std::accumulate(
    this->activities.begin(), this->activities.end(), 0,
    [](int aSum, const EndpointActivity& aActivity) { return aSum + aActivity.InFlight(); });
  this->positions = std::move(places);
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
    return Error(ErrorKind::NoConfiguration, "no routing table yet");
  }
  Scene scene;
  const auto group = this->table->FindGroup(aRequest);
  if (!group) {
    return group.error();
  }
  scene.group = group.value();
  this->FillScene(aRequest, scene);
  Candidates candidates;
  if (aRequest.onlyEndpoint.empty()) {
    this->Collect(scene, candidates);
  } else {
    this->CollectOnly(aRequest.onlyEndpoint, scene, candidates);
  }

  // The cheapest of those that finish by the deadline
  const double left = ToSeconds(aRequest.deadline - scene.now);
  RoutingSettings rules = this->settings;
  rules.spread = this->Spread();
  RouteChoice choice;
  double best = 0;
  double soonest = 0;
  int eligible = 0;
  for (std::size_t index = 0; index < candidates.count; ++index) {
    const std::uint32_t target = candidates.targets[index];
    if (!this->IsEligible(target, aRequest, scene.now)) {
      continue;
    }
    const EndpointOutlook outlook = this->OutlookOf(target, scene);
    RouteScore score =
      aRequest.isPlainCall
        ? this->ScoreCall(target)
        : ScoreEndpoint(outlook, aRequest, scene.rank, this->table->MeanPricePerSecond(), rules);
    score.cost.latency = this->WithNoise(score.cost.latency);
    soonest = eligible == 0 ? score.finishSeconds : std::min(soonest, score.finishSeconds);
    ++eligible;
    const double total = score.cost.Total();
    if (score.finishSeconds <= left && (choice.considered == 0 || total < best)) {
      best = total;
      choice.endpoint = target;
      choice.cost = score.cost;
      choice.firstTokenSeconds = score.firstTokenSeconds;
      choice.betweenTokensSeconds = score.betweenTokensSeconds;
      choice.cachedTokens = static_cast<int>(outlook.cachedTokens + outlook.fetchedTokens);
      choice.fetchFrom = outlook.fetchedTokens > 0 ? this->BestHolder(scene) : std::nullopt;
      choice.considered = 1;
    }
  }
  if (eligible == 0) {
    return Error(ErrorKind::NoEndpoint,
                 fmt::format("no endpoint for {} takes work", scene.group->name))
      .WithRetryAfter(this->settings.retryAfterFloor);
  }
  if (choice.considered == 0) {
    const auto excess = std::chrono::duration<double>(soonest - left);
    const auto wait = std::chrono::duration_cast<Milliseconds>(excess);
    return Error(ErrorKind::DeadlineUnreachable,
                 fmt::format("the soonest answer would come {} ms too late", wait.count()))
      .WithRetryAfter(std::max(wait, this->settings.retryAfterFloor));
  }
  choice.considered = eligible;
  choice.priority = EnginePriority(scene.rank, aRequest.promptTokens - choice.cachedTokens);
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
  for (std::size_t index = 0; index < match.holders; ++index) {
    if (holders.at(index).tag == tag) {
      return static_cast<int>(holders.at(index).tokens);
    }
  }
  return 0;
}

void
Router::CollectOnly(std::string_view aEndpointId, const Scene& aScene,
                    Candidates& aCandidates) const
{
  const auto found = this->positions.find(this->KeyOf(aEndpointId));
  if (found != this->positions.end() && aScene.group->Has(found->second)) {
    aCandidates.Add(found->second);
  }
}

void
Router::FillScene(const RouteRequest& aRequest, Scene& aScene) const
{
  aScene.now = this->clock.Now();
  aScene.rank = this->table->RankOf(aRequest.priority);
  aScene.promptTokens = aRequest.promptTokens;
  if (!aRequest.prefixBlocks.empty()) {
    const PrefixMatch match = this->prefixes.Find(aRequest.prefixBlocks, aScene.holders);
    aScene.holderCount = match.holders;
    aScene.prefixUses = match.uses * this->liveDaemons;

    // What a leaving endpoint has cached cannot be used any more
    auto* const end =
      std::remove_if(aScene.holders.data(), aScene.holders.data() + aScene.holderCount,
                     [&](const PrefixHolder& aHolder) {
                       const auto place = this->tags.find(aHolder.tag);
                       return place == this->tags.end() || !aScene.group->Has(place->second);
                     });
    aScene.holderCount = static_cast<std::size_t>(end - aScene.holders.data());
    this->FindHomes(aRequest, aScene);
  }
}

void
Router::FindHomes(const RouteRequest& aRequest, Scene& aScene) const
{
  // The first endpoints on the ring after the prefix's position, each once
  const auto& ring = aScene.group->ring;
  const std::size_t block = std::min(aRequest.prefixBlocks.size() - 1, kHomeBlock);
  const auto less = [](const RingPoint& aPoint, std::uint64_t aPosition) {
    return aPoint.position < aPosition;
  };
  const auto start =
    std::lower_bound(ring.begin(), ring.end(), aRequest.prefixBlocks[block], less) - ring.begin();
  for (std::size_t step = 0; step < ring.size() && aScene.homeCount < aScene.homes.size(); ++step) {
    const auto target = ring[(static_cast<std::size_t>(start) + step) % ring.size()].target;
    if (aScene.homeCount == 0 || aScene.homes[0] != target) {
      aScene.homes[aScene.homeCount++] = target;
    }
  }
}

void
Router::Collect(const Scene& aScene, Candidates& aCandidates)
{
  const auto& members = aScene.group->targets;
  if (members.size() <= std::min(this->settings.fullScan, kMaxCandidates)) {
    for (const std::uint32_t target : members) {
      aCandidates.Add(target);
    }
    return;
  }

  // Who is thought to have the prefix, where it would live, and a sample that leans to the cheap
  for (std::size_t index = 0; index < aScene.holderCount; ++index) {
    aCandidates.Add(this->tags.at(aScene.holders[index].tag));
  }
  for (std::size_t index = 0; index < aScene.homeCount; ++index) {
    aCandidates.Add(aScene.homes[index]);
  }
  for (std::size_t index = 0; index < this->settings.sample; ++index) {
    const std::size_t range = index % 2 == 0 ? members.size() : members.size() / 4;
    aCandidates.Add(members[this->NextRandom() % std::max(range, std::size_t{ 1 })]);
  }
}

bool
Router::IsEligible(std::uint32_t aTarget, const RouteRequest& aRequest, TimePoint aNow) const
{
  const RoutingTarget& target = this->table->Targets()[aTarget];
  const std::string_view domain = this->table->FailureDomains()[target.failureDomain];
  const auto is = [](std::span<const std::string_view> aList, std::string_view aName) {
    return std::find(aList.begin(), aList.end(), aName) != aList.end();
  };
  return target.live && !is(aRequest.excludedEndpoints, target.id) &&
         !is(aRequest.excludedDomains, domain) &&
         this->activities[aTarget].breaker.Allows(this->settings.breaker, aNow);
}

RouteScore
Router::ScoreCall(std::uint32_t aTarget) const
{
  const RoutingTarget& target = this->table->Targets()[aTarget];
  // One that is new is taken for a good one of its kind, so that it gets its first calls
  const double learned = this->activities[aTarget].CallCost();
  const double usual = this->everywhere.CallCost();
  const double unknown = usual > 0 ? std::min(usual, this->settings.speed.serviceCallSeconds)
                                   : this->settings.speed.serviceCallSeconds;
  const double call = learned > 0 ? learned : unknown;
  const double places = std::max(target.sequences, 1);
  const double taken = this->SequencesAt(aTarget, this->PeerFactor(target)) / places;
  RouteScore score;
  score.firstTokenSeconds = this->settings.networkSeconds + call * (1 + taken);
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
Router::PeersAt(const EndpointActivity& aActivity) const
{
  const bool isTold = this->peersInFlightAt &&
                      this->clock.Now() - *this->peersInFlightAt <= this->settings.peerLoadMemory;
  if (isTold) {
    return aActivity.PeersInFlight();
  }
  // A few own requests among many endpoints say little about where the others' are; many say more
  const double targets = std::max<double>(static_cast<double>(this->activities.size()), 1);
  const double weight =
    this->ownInFlight / (this->ownInFlight + this->settings.peerPrior * targets);
  const double mean = this->ownInFlight / targets;
  return (this->liveDaemons - 1) * (weight * aActivity.InFlight() + (1 - weight) * mean);
}

double
Router::PeerFactor(const RoutingTarget& aTarget) const
{
  // They see the same reports and follow the same rules. A few own dispatches among many endpoints
  // say little about where the others' have gone; many say more
  const double missed = this->everywhere.DispatchedSince(aTarget.asOf);
  const double prior =
    this->settings.peerPrior * static_cast<double>(this->table->Targets().size());
  return missed > 0 ? 1 + (this->liveDaemons - 1) * missed / (missed + prior) : 1;
}

double
Router::Spread() const
{
  const double wider = 1 + this->settings.peerSpread * (this->liveDaemons - 1);
  return this->settings.spread * std::min(wider, 2.0);
}

double
Router::SequencesAt(std::uint32_t aTarget, double aPeerFactor) const
{
  const RoutingTarget& target = this->table->Targets()[aTarget];
  const EndpointActivity& activity = this->activities[aTarget];
  if (!target.reports) {
    return activity.InFlight() + this->PeersAt(activity);
  }
  const double reported = target.waiting + target.running;
  const double since = activity.NetSince(target.asOf) * aPeerFactor;
  return std::max<double>(reported + since, activity.InFlight());
}

EndpointOutlook
Router::OutlookOf(std::uint32_t aTarget, const Scene& aScene) const
{
  const RoutingTarget& target = this->table->Targets()[aTarget];
  const EndpointActivity& activity = this->activities[aTarget];
  EndpointOutlook outlook;
  outlook.speed = this->speed.Get(this->speedIndices[target.machineClass]);
  if (target.sequences > 0) {
    outlook.speed.sequences = target.sequences;
  }
  outlook.pricePerSecond = target.pricePerSecond;
  const double peers = this->PeerFactor(target);
  outlook.sequences = this->SequencesAt(aTarget, peers);
  outlook.mayPreempt = this->settings.ranksPreempt && aScene.rank > 0;
  if (target.reclaimable) {
    const double perHour = this->table->IsGoing(target.failureDomain)
                             ? this->settings.goingDomainPerHour
                             : this->settings.reclaimsPerHour;
    outlook.reclaimsPerSecond = perHour / kSecondsPerHour;
  }

  outlook.prefixUses = aScene.prefixUses;
  const auto tag = PrefixIndex::TagOf(target.key);
  for (std::size_t index = 0; index < aScene.holderCount; ++index) {
    outlook.bestCachedTokens = std::max(outlook.bestCachedTokens, aScene.holders[index].tokens);
    if (aScene.holders[index].tag == tag) {
      outlook.cachedTokens = aScene.holders[index].tokens;
    }
  }
  for (std::size_t index = 0; index < aScene.homeCount; ++index) {
    if (aScene.homes[index] == aTarget) {
      outlook.homeShare = 1.0 / static_cast<double>(index + 1);
    }
  }
  this->PlanFetch(aTarget, aScene, outlook);
  const double kept = outlook.cachedTokens + outlook.fetchedTokens;
  const int priority = EnginePriority(aScene.rank, aScene.promptTokens - kept);
  outlook.prefillAhead = activity.PrefillPending(priority) * peers;
  const double age = ToSeconds(aScene.now - activity.FirstSeen());
  outlook.newness = std::max(1 - age / ToSeconds(this->settings.slowStart), 0.0);
  return outlook;
}

std::optional<std::uint32_t>
Router::BestHolder(const Scene& aScene) const
{
  const auto end = aScene.holders.begin() + static_cast<std::ptrdiff_t>(aScene.holderCount);
  const auto best = std::max_element(aScene.holders.begin(), end,
                                     [](const PrefixHolder& aLeft, const PrefixHolder& aRight) {
                                       return aLeft.tokens < aRight.tokens;
                                     });
  if (best == end) {
    return std::nullopt;
  }
  return this->tags.at(best->tag);
}

void
Router::PlanFetch(std::uint32_t aTarget, const Scene& aScene, EndpointOutlook& aOutlook) const
{
  const double more = aOutlook.bestCachedTokens - aOutlook.cachedTokens;
  const double perToken = this->table->Targets()[aTarget].fetchSecondsPerToken;
  const auto holder = this->BestHolder(aScene);
  const bool isFast =
    perToken > 0 && perToken <= aOutlook.speed.prefillSecondsPerToken * this->settings.fetchPart;
  if (holder && *holder != aTarget && isFast && more >= this->settings.fewestFetched) {
    aOutlook.fetchedTokens = more;
    aOutlook.fetchSecondsPerToken = perToken;
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
  const auto place = this->positions.find(this->KeyOf(aEndpointId));
  return place == this->positions.end() ||
         this->activities[place->second].breaker.Allows(this->settings.breaker, this->clock.Now());
}

std::uint64_t
Router::KeyOf(std::string_view aEndpointId) const
{
  const std::uint64_t hash = HashBytes(aEndpointId);
  const auto life = this->lives.find(hash);
  return life == this->lives.end() ? hash : life->second;
}

EndpointActivity*
Router::FindActivity(std::uint64_t aKey)
{
  const auto place = this->positions.find(aKey);
  return place == this->positions.end() ? nullptr : &this->activities[place->second];
}

std::uint64_t
Router::NextRandom()
{
  // splitmix64
  this->random += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = this->random;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

} // namespace lagoonward
