#pragma once

#include "Lagoonward/Admission/DemandView.h"
#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Core/Result.h"

#include <array>
#include <functional>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace lagoonward {

class Admission;

/// The properties of a request that admission control uses.
struct AdmissionRequest
{
  std::string_view client; ///< The account's name, already authenticated.
  int rank = 0;      ///< Rank of its class's priority, 0 the lowest; see RoutingTable::RankOf().
  double tokens = 0; ///< Estimate: uncached prompt and expected answer.
  LimitTokenUse use = LimitTokenUse::NewRequest;
};

/// Represents one admitted request. The destructor releases the request's concurrency slot. Movable, not copyable.
class Ticket
{
public:
  Ticket(Ticket&& aOther) noexcept;
  Ticket& operator=(Ticket&& aOther) noexcept;
  Ticket(const Ticket&) = delete;
  Ticket& operator=(const Ticket&) = delete;
  ~Ticket();

  /// Reports whether the answer met its class's targets. While answers of a rank miss their targets, lower ranks are
  /// shed earlier.
  void ReportTargets(bool aMet);

  /// Sets the number of tokens that the request used. The difference from the estimate is charged or refunded when the
  /// ticket is released.
  void Settle(double aTokens);

private:
  friend class Admission;
  Ticket(Admission& aAdmission, std::uint64_t aClient, const AdmissionRequest& aRequest);

  void Release();

  Admission* admission; ///< Must outlive the ticket. Null once moved from.
  std::uint64_t client;
  int rank;
  double estimated;
  double used;
  TimePoint admittedAt;
};

/// Decides immediately whether a request is admitted; there is no queue. Limits per client apply to the whole
/// deployment (see DemandView for the error bound). Under high pressure on the endpoints the lowest ranks are shed
/// first, and within a rank the clients furthest above their fair share. A refused request was never sent to an
/// endpoint. Thread-safe; one mutex is held for a short time.
class Admission
{
public:
  Admission(const AdmissionSettings& aSettings, const Clock& aClock, std::uint64_t aSeed);

  /// Applies the clients of a manifest. Running requests keep their concurrency slots.
  void Configure(const Manifest& aManifest);

  /// Sets the utilization of the endpoints; see Router::Pressure().
  void SetPressure(double aPressure);

  /// Sets the number of daemons that may share the limits, including this one, as known without messages from each of
  /// them. Until the first call, pooled limits admit nothing, for up to `daemonCountTimeout`.
  void SetDaemonCount(int aCount);

  /// Whether the number of daemons is known. Until then a request of a limited client should wait.
  [[nodiscard]] bool KnowsDaemonCount();

  /// Sets the function that returns the reserve role of this daemon for each pooled limit. Its argument is the hash of
  /// the account's name. Until the first call this daemon acts as the primary reserve of every limit, as no other
  /// daemon is known to own one.
  void SetReserveRoles(std::function<ReserveRole(std::uint64_t aClient)> aRoleOf);

  /// Returns the tokens to request from a reserve before Admit() is called, or nothing if none are needed.
  [[nodiscard]] std::optional<LimitTokenRequest> MakeTokenRequest(const AdmissionRequest& aRequest);

  /// Charges an admitted request that an endpoint runs once more to its client's limit.
  /// @return the tokens to charge to a reserve, or nothing
  [[nodiscard]] std::optional<LimitTokenRequest> ChargeRepeat(const AdmissionRequest& aRequest);

  /// Handles another daemon's request for tokens of a reserve that this daemon owns.
  [[nodiscard]] LimitTokenGrant GrantTokens(const LimitTokenRequest& aRequest);

  /// Handles the reply of a reserve, or the lack of a reply from any reserve.
  void OnTokenGrant(const LimitTokenRequest& aRequest,
                    const std::optional<LimitTokenGrant>& aGrant);

  /// Errors, all with ran "no": Unauthorized for an account that the manifest does not name;
  /// ClientOverLimit with `retryAfter` until its limits allow it; Overloaded with `retryAfter`.
  [[nodiscard]] Result<Ticket> Admit(const AdmissionRequest& aRequest);

  /// Returns the demand to send with the next heartbeat. Must be called exactly once for each heartbeat.
  [[nodiscard]] std::vector<ClientDemand> CollectDemand();

  /// Applies the demand received with a peer's heartbeat.
  void OnPeerDemand(std::uint64_t aDaemon, std::span<const ClientDemand> aDemand);

  /// Applies the aggregated demand and admitted totals of all other daemons, received in place of one message from
  /// each.
  void OnAggregatedDemand(const AggregatedDemand& aOthers);

private:
  friend class Ticket;

  static constexpr std::size_t kRanks = 4;

  /// One account and its usage at this daemon.
  struct Client
  {
    ManifestClient limits;
    std::uint64_t key = 0;
    int running = 0;
    int runningLimit = 0; ///< At this daemon until the next heartbeat; unused without a limit.
    double rateShare = 1; ///< This daemon's fraction of the rate limit.
    int runningAtPeers = 0;
    double availableTokens = 0; ///< In the bucket.
    TimePoint refilledAt;
    double requestedTokens = 0;            ///< Since the last heartbeat.
    double averageDemand = 0;              ///< Tokens per second.
    std::optional<SharedTokenBucket> pool; ///< Replaces the bucket above if limits are pooled.
  };

  /// Adds the client's identity to a request for its tokens.
  [[nodiscard]] static std::optional<LimitTokenRequest> Identified(
    std::optional<LimitTokenRequest> aRequest, const Client& aClient);
  void ApplyPeerDemand(std::uint64_t aPeer, std::span<const ClientDemand> aDemand, int aDaemons,
                       std::uint64_t aSeries);
  void Finish(std::uint64_t aClient, double aEstimated, double aUsed, TimePoint aAdmittedAt);
  [[nodiscard]] Client* FindClient(std::uint64_t aKey);
  [[nodiscard]] Error MakeTokenLimitError(const Client& aClient, double aSeconds) const;
  void ConfigurePool(Client& aClient) const;
  void UpdatePoolDaemonCount(Client& aClient) const;
  void Refill(Client& aClient) const;
  /// Capacity in tokens of this daemon's share of a client's bucket.
  [[nodiscard]] double BucketCapacity(const Client& aClient) const;
  /// Tokens per second that this daemon may admit.
  [[nodiscard]] double RefillRate(const Client& aClient) const;
  void RefreshLimits(Client& aClient) const;
  [[nodiscard]] Result<void> CheckLimits(Client& aClient, const AdmissionRequest& aRequest);
  [[nodiscard]] Result<void> CheckPressure(const Client& aClient, int aRank);
  void RecordTargets(int aRank, bool aMet);
  /// Fraction of `missShift` to apply to a rank, from 0 to 1.
  [[nodiscard]] double MissShiftFraction(int aRank) const;
  /// How far a client is above (up to 1) or below (down to -1) its fair share of the running requests.
  [[nodiscard]] double FairShareExcess(const Client& aClient) const;
  [[nodiscard]] Milliseconds ClampRetryAfter(double aSeconds) const;

  AdmissionSettings settings;
  const Clock& clock;
  std::mutex mutex; ///< Guards all below.
  std::uint64_t randomState;
  std::vector<Client> clients;
  DemandView demandView;
  std::function<ReserveRole(std::uint64_t)> reserveRoleOf = [](std::uint64_t) {
    return ReserveRole::Primary;
  };
  int daemonCount = 0; ///< Zero until the first SetDaemonCount().
  double pressure = 0;
  std::array<double, kRanks> missRatios{}; ///< Averaged ratio of missed targets, by rank.
  double meanRequestSeconds = 1;           ///< Averaged duration of requests.
  TimePoint demandTakenAt;                 ///< Time of the last CollectDemand().
};

} // namespace lagoonward
