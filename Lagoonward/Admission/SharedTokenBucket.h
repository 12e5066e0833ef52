#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lagoonward {

/// One client's limit over the whole deployment.
struct PooledLimit
{
  double rate = 0;     ///< Tokens per second.
  double capacity = 0; ///< Tokens at once.
  /// Tokens by which all daemons together may exceed the capacity.
  double slack = 0;

  [[nodiscard]] bool operator==(const PooledLimit&) const = default;
};

/// Settings of shared token buckets.
struct SharedTokenBucketSettings
{
  /// A peer that sends nothing for this long, three messages, may be unreachable. Totals received from peers are never
  /// older than this.
  Milliseconds silenceTimeout{ 1600 };
  Milliseconds peerRetention{ 20'000 }; ///< A peer that sends nothing for this long is removed.
  double initialFillRatio = 0.25;       ///< Of a bucket whose previous usage is unknown.
  /// A daemon that has not learned how many daemons share its limits admits nothing for this long, then assumes that it
  /// is the only one. The list of daemons comes from the same source as the limits, within some ten milliseconds of
  /// them.
  Milliseconds daemonCountTimeout{ 2000 };
  /// After a daemon has learned that number, reserves are found and filled within this time. A request that is refused
  /// before is not to be retried earlier, as most callers retry once.
  Milliseconds settlingTime{ 800 };
  /// In that time the primary reserve grants this much in advance, as fractions of the capacity and of the slack, to be
  /// refilled before it grants again. Reserves that start together are empty while all clients come back at once.
  double advancedCapacity = 0.25;
  double advancedSlack = 0.5;

  double localShare = 0.1; ///< Fraction of the limit that is split evenly between all daemons.
  double backupShare =
    0.2; ///< Fraction of the limit in the backup reserve; the primary reserve has the rest.

  /// A daemon requests this much of its equal share of the rate beyond what it needs now, so that small requests do not
  /// each need a message to a reserve.
  Milliseconds prefetch{ 1000 };
  /// Largest rate of refusals per second by one reserve; it sets how long the refused daemons wait.
  double refusalsPerSecond = 200;
  Milliseconds minimumRefusal{ 50 };     ///< Shortest wait that a reserve gives with a refusal.
  Milliseconds maximumRefusal{ 30'000 }; ///< Longest time that a daemon waits after a refusal.
  Milliseconds unansweredRetryDelay{
    200
  }; ///< Time until the next request to a reserve that did not reply.
  /// How long new requests leave tokens to a stream that is continued after a refusal. It asks again sooner.
  Milliseconds continuationPrecedence{ 300 };
};

/// Which reserve of a client's limit a daemon owns beside its local share.
enum class ReserveRole : std::uint8_t
{
  None,
  Backup,  ///< Grants tokens if the primary reserve is empty or does not reply.
  Primary, ///< Is asked first, and receives the tokens that the other daemons leave unused.
};

/// A reserve's reply.
struct LimitTokenGrant
{
  double tokens = 0; ///< Zero for a refusal.
  double retryAfterSeconds =
    0; ///< Seconds until the next request is allowed; zero if the daemon asked owns no reserve.
};

/// What tokens are used for.
enum class LimitTokenUse : std::uint8_t
{
  NewRequest,
  /// A stream of which the caller has a part already; new requests leave tokens to it.
  Continuation,
  /// A request that has used them already. A reserve always grants them and may become negative.
  Overdraft,
};

/// A daemon's request to a reserve.
struct LimitTokenRequest
{
  std::uint64_t client = 0;   ///< Hash of the account's name.
  double neededTokens = 0;    ///< Smallest useful number of tokens.
  double preferredTokens = 0; ///< Preferred number of tokens, at least `neededTokens`.
  std::string account;        ///< The account's name, for logs.
  LimitTokenUse use = LimitTokenUse::NewRequest;
};

/// One client's token bucket, shared by all daemons of the deployment. It is divided into shares, so that the number of
/// tokens admitted does not depend on the delay of messages between daemons:
///
/// | share | owner | purpose |
/// | --- | --- | --- |
/// | localShare, and the slack | every daemon, evenly | small requests, without a message |
/// | backupShare | the backup reserve | grants while the primary reserve is empty or does not reply |
/// | the rest | the primary reserve | grants to any daemon with a request larger than the tokens it holds |
///
/// Each share refills at its fraction of the rate. Tokens that do not fit into the shares of the other daemons go to
/// the primary reserve, once it is certain that no daemon has used them: daemons send each other the total number of
/// tokens that they have admitted at an interval.
///
/// Error bound: while one daemon at a time is the primary reserve and one the backup, all daemons together admit at
/// most capacity + slack + rate * time, for any number of daemons and any message delay up to `silenceTimeout`. A
/// daemon that starts adds initialFillRatio of its local share; until it knows the number of daemons it holds nothing. A
/// primary reserve that starts with the others exceeds the bound by its advance until that is refilled.
/// A request that endpoints run again is charged again (ChargeRepeat): as it can no longer be refused, the tokens may be
/// missing, and all shares together exceed the bound by the overdraft until it is refilled at the rate, ahead of new
/// requests. While daemons disagree about the roles, each role held
/// twice adds its share of the rate for that time. A reserve refills only for the fraction of daemons that it receives
/// messages from; a daemon that no reserve has answered for `silenceTimeout` holds and refills an equal share of the
/// whole limit. The sides of a network partition thus stay within the limit together, except for the time until the
/// partition is detected.
///
/// Streams that callers continue come before new requests: while one was refused a short time ago, neither the daemon that
/// refused it nor a reserve that did gives tokens to new requests, except to ones that are small beside it.
///
/// The largest request that can be admitted is the capacity of the primary reserve and of the daemon's local share.
/// Not thread-safe.
class SharedTokenBucket
{
public:
  SharedTokenBucket(const SharedTokenBucketSettings& aSettings, TimePoint aNow);

  /// Sets the limit. A lower limit takes effect immediately; an equal one changes nothing.
  void Configure(const PooledLimit& aLimit, TimePoint aNow);

  /// Sets which reserve this daemon owns. A reserve starts empty, unless this daemon owned the other reserve before.
  void SetReserveRole(ReserveRole aRole, TimePoint aNow);

  /// Consumes tokens that this daemon holds.
  /// @return zero if they were consumed, otherwise the seconds until they may be available
  [[nodiscard]] double TryConsume(double aTokens, TimePoint aNow,
                                  LimitTokenUse aUse = LimitTokenUse::NewRequest);

  /// Returns the tokens to request from a reserve before TryConsume() is called, or nothing: if this daemon holds
  /// enough, if it is the only daemon, or if the reserves have refused as many tokens a short time ago.
  [[nodiscard]] std::optional<LimitTokenRequest> MakeTokenRequest(
    double aTokens, TimePoint aNow, LimitTokenUse aUse = LimitTokenUse::NewRequest);

  /// Consumes the tokens of an admitted request that is run once more, whether this daemon holds them or not.
  /// @return the request with which to charge the missing tokens to a reserve; nothing if none are missing
  [[nodiscard]] std::optional<LimitTokenRequest> ChargeRepeat(double aTokens, TimePoint aNow);

  /// Handles the reply of a reserve.
  /// @param aNeed  tokens that were needed in the request
  void OnTokenGrant(const LimitTokenGrant& aGrant, double aNeed, TimePoint aNow,
                    LimitTokenUse aUse = LimitTokenUse::NewRequest);

  /// Handles a request that no reserve has answered.
  void OnTokenRequestTimeout(TimePoint aNow);

  /// Handles another daemon's request for tokens of the reserve that this daemon owns.
  [[nodiscard]] LimitTokenGrant GrantTokens(const LimitTokenRequest& aRequest, TimePoint aNow);

  /// Must be called before each time that AdmittedTotal() is sent to the peers.
  /// @param aDaemons  number of daemons that share the limit, including this one
  void OnSendInterval(int aDaemons, TimePoint aNow);

  /// Handles a peer's total. A peer may represent several daemons, so that the cost of a bucket does not grow with the
  /// deployment.
  /// @param aDaemons  number of daemons that the peer represents now
  /// @param aSeries   identifies the counter series of the total; totals of different series are not compared
  void OnPeerTotal(std::uint64_t aPeer, double aTotal, TimePoint aNow, int aDaemons = 1,
                   std::uint64_t aSeries = 0);

  [[nodiscard]] double AdmittedTotal() const { return this->admittedTotal; }

  /// Estimate of the tokens left of the capacity in the whole deployment, without the slack.
  [[nodiscard]] double Level() const
  {
    return this->localTokens + this->reserveTokens + this->remoteTokens + this->previousSurplus +
           this->currentSurplus - this->limit.slack;
  }

private:
  struct Peer
  {
    TimePoint receivedAt;
    double total = 0;
    int daemons = 1; ///< Number of daemons that it represents.
    std::uint64_t series = 0;
  };

  /// Sets the level with which a daemon starts, once limit and number of daemons are known.
  void FillInitially(TimePoint aNow);
  void Advance(TimePoint aNow);
  void RotateGenerations(TimePoint aNow);
  /// Charges tokens that other daemons have used, from their local shares or from grants.
  void ChargeRemote(double aTokens);
  /// Fraction of the daemons with a message within `silenceTimeout`, including this one.
  [[nodiscard]] double ReachableFraction(TimePoint aNow) const;
  /// Tokens by which this reserve may become negative because all daemons have just started.
  [[nodiscard]] double StartAdvance(TimePoint aNow) const;
  /// Fraction of the limit that belongs to the reserve of this daemon.
  [[nodiscard]] double ReserveShare() const;
  [[nodiscard]] double LocalRate(TimePoint aNow) const;
  [[nodiscard]] double LocalCapacity(TimePoint aNow) const;
  [[nodiscard]] double ReserveCapacity() const;
  [[nodiscard]] double RemoteCapacity(TimePoint aNow) const;
  [[nodiscard]] bool IsOnlyDaemon() const { return this->daemonCount && *this->daemonCount <= 1; }
  /// Whether no reserve has replied for so long that none counts this daemon as reachable any more. False for the owner
  /// of a reserve, which uses its own.
  [[nodiscard]] bool IsPartitioned(TimePoint aNow) const;
  /// Whether a request leaves tokens to a continuation that was refused.
  [[nodiscard]] bool Yields(double aTokens, LimitTokenUse aUse, TimePoint aNow) const;
  void OnRefused(double aTokens, LimitTokenUse aUse, TimePoint aNow);

  SharedTokenBucketSettings settings;
  PooledLimit limit;
  bool isConfigured = false;
  std::optional<int> daemonCount; ///< Daemons that share the limit; empty until known.
  TimePoint
    settledAt; ///< Until then the reserves may be empty because all daemons have just started.
  ReserveRole role = ReserveRole::None;
  TimePoint startedAt;
  TimePoint advancedAt;
  double admittedTotal = 0; ///< By this daemon since its start.
  /// Left of this daemon's local share, and granted by reserves. Negative for an overdraft.
  double localTokens = 0;
  double reserveTokens = 0; ///< Left of the reserve of this daemon. Negative for an overdraft.
  double remoteTokens = 0;  ///< Estimate of what is left of all other shares.

  // Kept in two generations of `silenceTimeout` each: a total received from a peer may be as old as one generation
  TimePoint rotatedAt;
  double currentSurplus =
    0; ///< Tokens that did not fit into the other shares, unless peers report that they used them.
  double previousSurplus = 0;
  double currentGrants = 0; ///< Tokens granted to daemons that have not reported their use.
  double previousGrants = 0;

  bool othersRanBefore = false; ///< A peer's total shows that not all daemons have just started.
  TimePoint refusedUntil;   ///< No request for as many tokens is sent to reserves before this time.
  double refusedTokens = 0; ///< Tokens needed in the last refused request.
  TimePoint continuationRefusedUntil; ///< No request for a continuation is sent before this time.
  TimePoint yieldUntil;               ///< Until then new requests leave tokens to continuations.
  double refusedContinuation = 0;     ///< Tokens of the last continuation that was refused.
  std::optional<TimePoint> unansweredSince; ///< No reserve has replied since this time.
  TimePoint lastUnansweredAt;               ///< Time of the last request without a reply.
  std::map<std::uint64_t, Peer> peers;
};

} // namespace lagoonward
