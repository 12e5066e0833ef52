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

/// What admission must know of one request.
struct AdmissionRequest
{
  std::string_view client; ///< The account's name, already authenticated.
  int rank = 0;      ///< Rank of its class's priority, 0 the lowest; see RoutingTable::RankOf().
  double tokens = 0; ///< Estimate: uncached prompt and expected answer.
};

/// Proof that a request was admitted. Gives its place back when it goes out of scope.
class Ticket
{
public:
  Ticket(Ticket&& aOther) noexcept;
  Ticket& operator=(Ticket&& aOther) noexcept;
  Ticket(const Ticket&) = delete;
  Ticket& operator=(const Ticket&) = delete;
  ~Ticket();

  /// States whether the answer kept its class's targets. While answers of a rank miss theirs, lower ranks are shed earlier.
  void ReportTargets(bool aMet);

  /// States what the request used in the end, so that the estimate's error is charged or refunded.
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

/// Decides at once whether a request is taken. Limits per client hold over the whole deployment (see
/// DemandView for the error bound); when the endpoints fill up, the lowest ranks are shed first, and
/// within a rank the clients furthest above their fair share. Whatever is refused was not run.
/// Thread-safe by one short mutex.
class Admission
{
public:
  Admission(const AdmissionSettings& aSettings, const Clock& aClock, std::uint64_t aSeed);

  /// Takes over the clients of a manifest. Requests that run keep their places.
  void Configure(const Manifest& aManifest);

  /// Sets how full the endpoints are; see Router::Pressure().
  void SetPressure(double aPressure);

  /// How many daemons may share the limits, this one included, as far as is known without having heard from them.
  /// Until the first call or the first message of a peer, pooled limits let nothing through.
  void SetDaemons(int aCount);

  /// Says what this daemon keeps of each pooled limit, named by the hash of its account's name. Until the first call it
  /// keeps the primary reserve of each, as nobody else is known to.
  void SetReserves(std::function<ReserveRole(std::uint64_t aClient)> aRoleOf);

  /// What to borrow from a reserve before Admit() is called, or nothing.
  [[nodiscard]] std::optional<LoanRequest> WantedLoan(const AdmissionRequest& aRequest);

  /// Another daemon asks for a part of a reserve that is kept here.
  [[nodiscard]] Loan Lend(const LoanRequest& aRequest);

  /// A reserve has answered this daemon, or none has.
  void OnLoan(const LoanRequest& aRequest, const std::optional<Loan>& aLoan);

  /// Errors, all with ran "no": Unauthorized for an account that the manifest does not name;
  /// ClientOverLimit with `retryAfter` until its limits allow it; Overloaded with `retryAfter`.
  [[nodiscard]] Result<Ticket> Admit(const AdmissionRequest& aRequest);

  /// What the next heartbeat has to say; to be called once for each.
  [[nodiscard]] std::vector<ClientDemand> TakeDemand();

  /// A peer's heartbeat has said this.
  void OnPeer(std::uint64_t aDaemon, std::span<const ClientDemand> aDemand);

  /// What all other daemons ask for and have admitted, in place of a message from each of them.
  void OnOthers(const DemandOfOthers& aOthers);

private:
  friend class Ticket;

  static constexpr std::size_t kRanks = 4;

  /// One account and what it uses at this daemon.
  struct Client
  {
    ManifestClient limits;
    std::uint64_t key = 0;
    int running = 0;
    int runningLimit = 0; ///< At this daemon until the next heartbeat; unused without a limit.
    double share = 1;     ///< Of the rate limit.
    int runningAtPeers = 0;
    double available = 0; ///< Tokens in the bucket.
    TimePoint filledAt;
    double asked = 0;                 ///< Tokens asked for since the last heartbeat.
    double demand = 0;                ///< Tokens per second, averaged.
    std::optional<PooledBucket> pool; ///< Instead of the bucket above, where limits are pooled.
  };

  void TakePeer(std::uint64_t aPeer, std::span<const ClientDemand> aDemand, int aDaemons,
                std::uint64_t aSeries);
  void Finish(std::uint64_t aClient, double aEstimated, double aUsed, TimePoint aAdmittedAt);
  [[nodiscard]] Client* Find(std::uint64_t aKey);
  [[nodiscard]] Error OverLimit(const Client& aClient, double aSeconds) const;
  void ConfigurePool(Client& aClient) const;
  void BeginPoolInterval(Client& aClient) const;
  void Fill(Client& aClient) const;
  /// Most tokens that this daemon's part of a client's bucket holds.
  [[nodiscard]] double BucketOf(const Client& aClient) const;
  /// Tokens per second that this daemon may let through.
  [[nodiscard]] double RateOf(const Client& aClient) const;
  void Refresh(Client& aClient) const;
  [[nodiscard]] Result<void> CheckLimits(Client& aClient, const AdmissionRequest& aRequest);
  [[nodiscard]] Result<void> CheckPressure(const Client& aClient, int aRank);
  void OnTargets(int aRank, bool aMet);
  [[nodiscard]] double MissPart(int aRank) const;
  [[nodiscard]] double OverUse(const Client& aClient) const;
  [[nodiscard]] Milliseconds Bounded(double aSeconds) const;

  AdmissionSettings settings;
  const Clock& clock;
  std::mutex mutex; ///< Guards all below.
  std::uint64_t random;
  std::vector<Client> clients;
  DemandView view;
  std::function<ReserveRole(std::uint64_t)> roleOf = [](std::uint64_t) {
    return ReserveRole::Primary;
  };
  int knownDaemons = 0; ///< Zero until told.
  double pressure = 0;
  std::array<double, kRanks> misses{}; ///< Averaged part of missed targets, by rank.
  double meanSeconds = 1;              ///< Averaged duration of requests.
  TimePoint sentAt;                    ///< Time of the last TakeDemand().
};

} // namespace lagoonward
