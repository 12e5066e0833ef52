#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Routing/EndpointActivity.h"
#include "Lagoonward/Routing/EngineWork.h"
#include "Lagoonward/Routing/PrefixIndex.h"
#include "Lagoonward/Routing/RouteChoice.h"
#include "Lagoonward/Routing/RouteRequest.h"
#include "Lagoonward/Routing/RouteScore.h"
#include "Lagoonward/Routing/RoutingSettings.h"
#include "Lagoonward/Routing/RoutingTable.h"
#include "Lagoonward/Routing/SpeedModel.h"

#include <array>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// How an attempt at an endpoint ended.
enum class DispatchOutcome
{
  Completed, ///< The answer is whole.
  Failed,    ///< The endpoint is to blame: refused, broke off, fell silent.
  Cancelled, ///< Moved or no longer wanted; says nothing about the endpoint.
};

/// Requests in flight at one endpoint.
struct EndpointCount
{
  std::uint64_t endpointKey = 0; ///< As RoutingTarget::key.
  int count = 0;
};

/// One attempt in progress, as Router::OnDispatched() gave it. Plain data; the attempt keeps it and
/// hands it back with each event.
struct Dispatch
{
  std::uint64_t endpointKey = 0;
  std::size_t speedIndex = 0;
  int uncachedTokens = 0;
  int freshTokens = 0;  ///< As in the request.
  int priority = 0;     ///< As sent to the engine.
  double sequences = 0; ///< Estimated batch at the endpoint when it was sent.
  bool isPlainCall = false;
  bool endpointWasIdle = false; ///< Little was ahead of it, so its first token shows the prefill speed.
  bool hasFirstToken = false;
  bool finished = false;
  TimePoint dispatchedAt;
  TimePoint lastToken;

  /// Events of a stream so far, and the tokens since a moment, of which speed is learned.
  int events = 0;
  int sampleTokens = 0;
  TimePoint sampleStart;
};

/// Chooses the endpoint for each attempt: the one with the lowest expected cost in money.
///
/// Threads: one short mutex guards everything. A decision takes a few microseconds and a daemon takes some
/// hundred requests a second, so that sharding would buy nothing and lose the exact own-dispatch
/// counts. Choose(), OnToken() and OnFinished() allocate nothing.
class Router
{
public:
  /// @param aSeed  of the sampling; differs between daemons so that they do not herd
  Router(const RoutingSettings& aSettings, const Clock& aClock, std::uint64_t aSeed);

  /// Takes a new table into use. What is known of endpoints that are still there is kept.
  void Update(RoutingTablePtr aTable);

  /// How many daemons share the traffic, this one included.
  void SetLiveDaemons(int aCount);

  /// The endpoint for a request, or why there is none.
  /// Errors: UnknownModel, UnknownService; NoEndpoint when nothing eligible serves it;
  /// DeadlineUnreachable with `retryAfter` when no endpoint is predicted to finish in time;
  /// NoConfiguration before the first Update().
  [[nodiscard]] Result<RouteChoice> Choose(const RouteRequest& aRequest);

  /// Tokens of a prompt's beginning that an endpoint's cache is believed to hold.
  [[nodiscard]] int CachedTokens(std::string_view aEndpointId,
                                 std::span<const std::uint64_t> aBlocks) const;

  /// Tells that the request is being sent where Choose() said.
  [[nodiscard]] Dispatch OnDispatched(const RouteChoice& aChoice, const RouteRequest& aRequest);

  /// A token has arrived. The first one also for plain services: their answer.
  void OnToken(Dispatch& aDispatch);

  /// An event of a stream has arrived from an endpoint that tells no load: speed is learned from it.
  void OnEvent(Dispatch& aDispatch, int aTokens);

  /// The attempt is over. Safe to call twice; only the first call counts.
  void OnFinished(Dispatch& aDispatch, DispatchOutcome aOutcome);

  /// News of an endpoint's prefix cache; see PrefixIndex.
  void OnCacheEvents(std::string_view aEndpointId, std::span<const std::uint64_t> aStored,
                     std::span<const std::uint64_t> aEvicted, bool aGap);

  /// How full the endpoints of a request's group are: sequences running and waiting over those that
  /// they run at once, excluded endpoints left out. 1 is full. Zero when the group is unknown.
  [[nodiscard]] double Pressure(const RouteRequest& aRequest) const;

  /// Requests of this daemon in flight at each endpoint that has any.
  [[nodiscard]] std::vector<EndpointCount> OwnInFlight() const;

  /// What the other daemons have in flight at endpoints; those not named have none.
  void OnPeersInFlight(std::span<const EndpointCount> aCounts);

  /// Seconds of a service's endpoints that some work takes, if each runs as many at once as it can. Nothing while
  /// their speed is not known.
  [[nodiscard]] std::optional<double> EndpointSeconds(std::string_view aService,
                                                      const EngineWork& aWork);

  /// What this daemon itself has learned of endpoints' speed.
  [[nodiscard]] std::vector<SpeedReport> LearnedSpeeds() const;
  /// What it goes by, with what others have told.
  [[nodiscard]] std::vector<SpeedReport> SpeedsInUse() const;
  /// Another daemon has told either.
  /// @param aSource  names that daemon
  void OnToldSpeeds(std::uint64_t aSource, std::span<const SpeedReport> aReports);

  /// Rank of a priority, see RoutingTable::RankOf(); zero before the first table.
  [[nodiscard]] int RankOf(int aPriority) const;

  /// Whether the endpoint's circuit breaker lets requests through.
  [[nodiscard]] bool IsAllowed(std::string_view aEndpointId) const;

private:
  static constexpr std::size_t kMaxCandidates = 64;
  static constexpr std::size_t kMaxHolders = 16;

  /// Endpoints to be scored for one request.
  struct Candidates
  {
    std::array<std::uint32_t, kMaxCandidates> targets;
    std::size_t count = 0;

    void Add(std::uint32_t aTarget);
  };

  /// What Choose() works out once per request.
  struct DecisionContext
  {
    const RoutingGroup* group = nullptr;
    std::array<PrefixHolder, kMaxHolders> holders;
    std::size_t holderCount = 0;
    double prefixUses = 0;
    std::array<std::uint32_t, 2> homes{};
    std::size_t homeCount = 0;
    int rank = 0;
    int promptTokens = 0;
    TimePoint now;
  };

  void FillContext(const RouteRequest& aRequest, DecisionContext& aContext) const;
  void FindHomes(const RouteRequest& aRequest, DecisionContext& aContext) const;
  void CollectRequired(std::string_view aEndpointId, const DecisionContext& aContext,
                   Candidates& aCandidates) const;
  void CollectCandidates(const DecisionContext& aContext, Candidates& aCandidates);
  [[nodiscard]] bool IsEligible(std::uint32_t aTarget, const RouteRequest& aRequest,
                                TimePoint aNow) const;
  [[nodiscard]] EndpointEstimate EstimateFor(std::uint32_t aTarget, const DecisionContext& aContext) const;
  /// Lets an endpoint fetch what another one keeps of the prompt, if that is worth it.
  void EstimateFetch(std::uint32_t aTarget, const DecisionContext& aContext, EndpointEstimate& aEstimate) const;
  /// The endpoint that keeps most of the prompt, if any.
  [[nodiscard]] std::optional<std::uint32_t> BestHolder(const DecisionContext& aContext) const;
  [[nodiscard]] double EstimatedSequences(std::uint32_t aTarget, double aPeerFactor) const;
  [[nodiscard]] double PeerFactor(const RoutingTarget& aTarget) const;
  /// What a plain call is expected to take at an endpoint.
  [[nodiscard]] RouteScore ScoreCall(std::uint32_t aTarget) const;
  /// Varies a price at random, see RoutingSettings::latencyNoise.
  [[nodiscard]] double WithNoise(double aCost);
  /// Concludes anew from what was learned, if the last time is long enough ago.
  void RefreshSpeed(TimePoint aNow);
  /// What the other daemons are thought to have in flight at an endpoint that does not tell its load.
  [[nodiscard]] double PeersInFlightAt(const EndpointActivity& aActivity) const;
  [[nodiscard]] EndpointActivity* FindActivity(std::uint64_t aKey);
  /// Key of the life that an id names now.
  [[nodiscard]] std::uint64_t KeyOf(std::string_view aEndpointId) const;
  [[nodiscard]] std::uint64_t NextRandom();

  /// `spread` for the daemons that live now.
  [[nodiscard]] double PredictionSpread() const;

  RoutingSettings settings;
  const Clock& clock;
  mutable std::mutex mutex; ///< Guards all below.
  std::uint64_t randomState;
  RoutingTablePtr table;
  SpeedModel speed;
  TimePoint speedRefreshedAt;
  PrefixIndex prefixes;
  std::vector<EndpointActivity> activities;                   ///< Parallel to the table's targets.
  EndpointActivity totalActivity;                                ///< All own dispatches together.
  std::vector<std::size_t> speedIndices;                      ///< Per machine class of the table.
  std::unordered_map<std::uint64_t, std::uint32_t> targetByKey; ///< Endpoint key to target.
  std::unordered_map<std::uint64_t, std::uint64_t> keyByIdHash;     ///< Hash of an id to endpoint key.
  std::unordered_map<std::uint32_t, std::uint32_t> targetByTag;      ///< Prefix tag to target.
  int liveDaemons = 1;
  int ownInFlight = 0;                      ///< At all endpoints.
  std::optional<TimePoint> peersInFlightAt; ///< When the others last told.
};

} // namespace lagoonward
