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
  Completed, ///< The response is complete.
  Failed,    ///< Endpoint failure: it refused the request, broke off, or stopped sending data.
  Cancelled, ///< Moved or no longer needed; does not count for or against the endpoint.
};

/// Number of requests in flight at one endpoint.
struct EndpointInFlightCount
{
  std::uint64_t endpointKey = 0; ///< See RoutingTarget::key.
  int count = 0;
};

/// State of one attempt in progress, created by Router::OnDispatched(). Plain data; the attempt stores it and passes it
/// to the router with each event.
struct Dispatch
{
  std::uint64_t endpointKey = 0;
  std::size_t speedIndex = 0;
  int uncachedTokens = 0;
  int freshTokens = 0; ///< See RouteRequest::freshTokens; zero if the prefix is fetched.
  int priority = 0;    ///< Priority sent to the engine.
  /// Other requests at the endpoint at the time of dispatch: of this daemon, and as the others have reported.
  int ownInFlight = 0;
  int peersInFlight = 0;
  double sequences = 0; ///< Estimated batch size at the endpoint at the time of dispatch.
  bool isPlainCall = false;
  /// Little was queued ahead, so the time to first token shows the prefill speed.
  bool endpointWasIdle = false;
  bool hasFirstToken = false;
  bool finished = false;
  TimePoint dispatchedAt;
  TimePoint lastToken;

  /// Stream events so far; tokens of the current speed sample and its start.
  int events = 0;
  int sampleTokens = 0;
  TimePoint sampleStart;
};

/// Chooses the endpoint for each attempt: the one with the lowest expected cost, in the currency of the hosts' prices.
///
/// Thread-safe: one mutex, held briefly, guards all state. A decision takes a few microseconds and a daemon serves some
/// hundred requests per second, so sharding would gain nothing and lose the exact counts of this daemon's dispatches.
/// Choose(), OnToken() and OnFinished() allocate no memory.
class Router
{
public:
  /// @param aSeed  seed of the random sampling; must differ between daemons so that they do not all choose the same
  ///               endpoint
  Router(const RoutingSettings& aSettings, const Clock& aClock, std::uint64_t aSeed);

  /// Replaces the routing table. State of endpoints that are also in the new table is retained.
  void Update(RoutingTablePtr aTable);

  /// Sets the number of daemons that share the traffic, including this one.
  void SetLiveDaemons(int aCount);

  /// Chooses the endpoint for a request.
  /// Errors: UnknownModel, UnknownService; NoEndpoint if no eligible endpoint serves the request;
  /// DeadlineUnreachable with `retryAfter` if no endpoint is predicted to finish by the deadline;
  /// NoConfiguration before the first Update().
  [[nodiscard]] Result<RouteChoice> Choose(const RouteRequest& aRequest);

  /// Prompt tokens expected in the endpoint's prefix cache.
  [[nodiscard]] int CachedTokens(std::string_view aEndpointId,
                                 std::span<const std::uint64_t> aBlocks) const;

  /// Records that the request is sent to the chosen endpoint.
  [[nodiscard]] Dispatch OnDispatched(const RouteChoice& aChoice, const RouteRequest& aRequest);

  /// A token has arrived. For plain services: the response has arrived.
  void OnToken(Dispatch& aDispatch);

  /// A stream event has arrived from an endpoint that does not report its load; the speed is learned from these events.
  void OnEvent(Dispatch& aDispatch, int aTokens);

  /// The attempt has ended. Only the first call for a dispatch has an effect.
  void OnFinished(Dispatch& aDispatch, DispatchOutcome aOutcome);

  /// Handles events of an endpoint's prefix cache; see PrefixIndex.
  /// @param aGap  whether earlier events were missed
  void OnCacheEvents(std::string_view aEndpointId, std::span<const std::uint64_t> aStored,
                     std::span<const std::uint64_t> aEvicted, bool aGap);

  /// Utilization of the endpoints in a request's group, without excluded ones: running and waiting sequences divided by
  /// the sequences they can run concurrently. 1 means full. Zero if the group is unknown.
  [[nodiscard]] double Pressure(const RouteRequest& aRequest) const;

  /// Requests of this daemon in flight, for each endpoint with at least one.
  [[nodiscard]] std::vector<EndpointInFlightCount> OwnInFlight() const;

  /// Sets the requests that the other daemons have in flight at endpoints; zero for endpoints not in aCounts.
  void OnPeersInFlight(std::span<const EndpointInFlightCount> aCounts);

  /// Endpoint seconds that aWork takes at a service's endpoints, each running as many requests concurrently as it can.
  /// Empty while their speed is unknown.
  [[nodiscard]] std::optional<double> EndpointSeconds(std::string_view aService,
                                                      const EngineWork& aWork);

  /// Endpoint speeds learned by this daemon alone.
  [[nodiscard]] std::vector<SpeedReport> LearnedSpeeds() const;
  /// Endpoint speeds in use, which combine the learned ones with reports of other daemons.
  [[nodiscard]] std::vector<SpeedReport> SpeedsInUse() const;
  /// Handles a report of another daemon, with its learned speeds or its speeds in use.
  /// @param aSource  identifies that daemon
  void OnPeerSpeeds(std::uint64_t aSource, std::span<const SpeedReport> aReports);

  /// Closes all circuit breakers: the failures were those of this daemon's path to the endpoints.
  void ResetCircuitBreakers();

  /// Rank of a priority, see RoutingTable::RankOf(); zero before the first Update().
  [[nodiscard]] int RankOf(int aPriority) const;

  /// Whether the endpoint's circuit breaker lets requests through; true for unknown endpoints.
  [[nodiscard]] bool IsAllowed(std::string_view aEndpointId) const;

private:
  static constexpr std::size_t kMaxCandidates = 64;
  static constexpr std::size_t kMaxHolders = 16;

  /// Set of endpoints to score for one request.
  struct Candidates
  {
    std::array<std::uint32_t, kMaxCandidates> targets;
    std::size_t count = 0;

    void Add(std::uint32_t aTarget);
  };

  /// Data of one request that Choose() computes once for all candidates.
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
  [[nodiscard]] EndpointEstimate EstimateFor(std::uint32_t aTarget,
                                             const DecisionContext& aContext) const;
  /// Adds the fetch of a cached prefix from another endpoint to an estimate, if it is long enough and fast enough.
  void EstimateFetch(std::uint32_t aTarget, const DecisionContext& aContext,
                     EndpointEstimate& aEstimate) const;
  /// The other endpoint of the target's software version that holds the longest prefix of the prompt, if any.
  [[nodiscard]] std::optional<std::uint32_t> BestSource(std::uint32_t aTarget,
                                                        const DecisionContext& aContext) const;
  [[nodiscard]] double EstimatedSequences(std::uint32_t aTarget, double aPeerFactor) const;
  /// Factor from this daemon's dispatches since a load report to the estimated dispatches of all daemons.
  [[nodiscard]] double PeerFactor(const RoutingTarget& aTarget) const;
  /// Predicted time and cost of a plain call at an endpoint.
  [[nodiscard]] RouteScore ScoreCall(std::uint32_t aTarget) const;
  /// Adds random noise to a cost, see RoutingSettings::latencyNoise.
  [[nodiscard]] double WithNoise(double aCost);
  /// Refreshes the speed model if kSpeedRefreshInterval has passed since the last refresh.
  void RefreshSpeed(TimePoint aNow);
  /// Estimated requests of the other daemons in flight at an endpoint that does not report its load.
  [[nodiscard]] double PeersInFlightAt(const EndpointActivity& aActivity) const;
  [[nodiscard]] EndpointActivity* FindActivity(std::uint64_t aKey);
  /// Key of the current incarnation of an endpoint id.
  [[nodiscard]] std::uint64_t KeyOf(std::string_view aEndpointId) const;
  [[nodiscard]] std::uint64_t NextRandom();

  /// RoutingSettings::spread, widened for the number of live daemons.
  [[nodiscard]] double PredictionSpread() const;

  RoutingSettings settings;
  const Clock& clock;
  mutable std::mutex mutex; ///< Guards all members below.
  std::uint64_t randomState;
  RoutingTablePtr table;
  SpeedModel speed;
  TimePoint speedRefreshedAt;
  PrefixIndex prefixes;
  std::vector<EndpointActivity> activities; ///< Parallel to the table's targets.
  EndpointActivity totalActivity;           ///< Dispatches of this daemon to all endpoints.
  /// Index into `speed` for each machine class of the table.
  std::vector<std::size_t> speedIndices;
  std::unordered_map<std::uint64_t, std::uint32_t> targetByKey; ///< Endpoint key to target index.
  /// Hash of an endpoint id to its key.
  std::unordered_map<std::uint64_t, std::uint64_t> keyByIdHash;
  /// PrefixIndex tag to target index.
  std::unordered_map<std::uint32_t, std::uint32_t> targetByTag;
  int liveDaemons = 1;
  int ownInFlight = 0;                      ///< Requests of this daemon in flight at all endpoints.
  std::optional<TimePoint> peersInFlightAt; ///< Time of the last OnPeersInFlight().
};

} // namespace lagoonward
