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

/// Tunables of pooled buckets.
struct PooledBucketSettings
{
  /// A peer not heard of for so long may be cut off: three messages. What peers tell is never older than this.
  Milliseconds silence{ 1600 };
  Milliseconds memory{ 20'000 }; ///< After this a silent peer counts as gone.
  double firstFill = 0.25;       ///< Of a bucket whose past is not known.
  /// A daemon that has not been told how many share its limits takes nothing for so long, then counts itself alone.
  /// The list of daemons comes from where the limits come from, some ten milliseconds apart.
  Milliseconds countPatience{ 2000 };

  double ownPart = 0.1; ///< Of the limit, split evenly between all daemons.
  double backupPart =
    0.2; ///< Of the limit, kept by the backup reserve; the primary one keeps the rest.

  /// A daemon that borrows asks for so much of its equal part of the rate beyond what it needs now, so that small
  /// requests are not asked for one by one.
  Milliseconds loanAhead{ 1000 };
  /// Refusals that a reserve gives at the most, each second, by the time for which it sends daemons away.
  double refusalsPerSecond = 200;
  Milliseconds shortestRefusal{ 50 };    ///< For which a reserve sends a daemon away.
  Milliseconds longestRefusal{ 30'000 }; ///< For which a daemon stays away, whatever it was told.
  Milliseconds unansweredPause{ 200 };   ///< Until a reserve that does not answer is asked again.
};

/// What a daemon keeps of a client's limit beside its own part.
enum class ReserveRole : std::uint8_t
{
  None,
  Backup,  ///< Lends where the primary reserve is spent or silent.
  Primary, ///< Lends first, and receives what the others leave unused.
};

/// A reserve's answer.
struct Loan
{
  double tokens = 0; ///< Zero for a refusal.
  double wait =
    0; ///< Seconds after which to ask again; zero where the daemon asked keeps no reserve.
};

/// What a daemon asks a reserve for.
struct LoanRequest
{
  std::uint64_t client = 0; ///< Hash of the account's name.
  double need = 0;          ///< Tokens; less is of no use.
  double want = 0;          ///< Rather so many, at least `need`.
  std::string account;      ///< The account's name, for logs.
};

/// One client's token bucket, kept by all daemons of the deployment together. It is divided, so that what may be
/// admitted does not depend on how soon daemons hear of each other:
///
/// | part | who holds it | what it is for |
/// | --- | --- | --- |
/// | ownPart, and the slack | every daemon, evenly | small requests, without asking |
/// | backupPart | the backup reserve | loans while the primary reserve is spent or silent |
/// | the rest | the primary reserve | loans to whichever daemon has a request larger than what it holds |
///
/// Each part fills at its part of the rate. What the others' parts can hold no more of goes to the primary reserve, once
/// it is certain that nobody has used it: daemons tell each other at an interval how many tokens they have admitted
/// in all.
///
/// Error bound: while one daemon at a time is the primary reserve and one the backup, all daemons together admit at
/// most capacity + slack + rate * time, however many they are and however late news come, up to `silence`. A daemon that
/// starts brings firstFill of its own part. Where daemons disagree about the roles, each role held twice adds its part of the rate for that time. A reserve earns for the part
/// of the daemons that it hears; a daemon that no reserve has answered for `silence` holds and earns an equal part of
/// the whole. Sides that are cut off from each other thus stay within the limit, but for the time that it takes to
/// notice.
///
/// The largest request that passes is what the primary reserve and the daemon's own part hold. Not thread-safe.
class PooledBucket
{
public:
  PooledBucket(const PooledBucketSettings& aSettings, TimePoint aNow);

  /// Sets the limit. A lower one takes effect at once; the same one changes nothing.
  void Configure(const PooledLimit& aLimit, TimePoint aNow);

  /// Sets what this daemon keeps of the limit. A reserve begins empty, unless it was the other one before.
  void SetRole(ReserveRole aRole, TimePoint aNow);

  /// Takes tokens from what this daemon holds.
  /// @return zero when they were taken, else the seconds after which they may be
  [[nodiscard]] double Take(double aTokens, TimePoint aNow);

  /// What to borrow before Take() is called, or nothing: where enough is held here, where nobody could lend, or where
  /// the reserves have refused as much lately.
  [[nodiscard]] std::optional<LoanRequest> WantedLoan(double aTokens, TimePoint aNow);

  /// A reserve has answered.
  /// @param aNeed  what it was asked for
  void OnLoan(const Loan& aLoan, double aNeed, TimePoint aNow);

  /// No reserve has answered.
  void OnLoanUnanswered(TimePoint aNow);

  /// Another daemon asks for a part of the reserve kept here.
  [[nodiscard]] Loan Lend(const LoanRequest& aRequest, TimePoint aNow);

  /// The peers are about to be told AdmittedTotal().
  /// @param aDaemons  how many share the limit, this one included
  void OnInterval(int aDaemons, TimePoint aNow);

  /// A peer has told its total. It may speak for several daemons together, so that what a bucket costs does not grow
  /// with the deployment.
  /// @param aDaemons  for how many daemons it speaks now
  /// @param aSeries   names whose count the total is: one of another series is not compared with those before
  void OnPeer(std::uint64_t aPeer, double aTotal, TimePoint aNow, int aDaemons = 1,
              std::uint64_t aSeries = 0);

  [[nodiscard]] double AdmittedTotal() const { return this->total; }

  /// Tokens left of the capacity in the whole deployment, as far as is known; the slack is not counted.
  [[nodiscard]] double Level() const
  {
    return this->own + this->reserve + this->others + this->surplusOld + this->surplusNew -
           this->limit.slack;
  }

private:
  struct Peer
  {
    TimePoint heard;
    double total = 0;
    int daemons = 1; ///< For which it speaks.
    std::uint64_t series = 0;
  };

  void Advance(TimePoint aNow);
  void TurnGenerations(TimePoint aNow);
  /// Others have used tokens of their own parts or of loans.
  void ChargeOthers(double aTokens);
  /// Part of the daemons that has been heard of lately, this one included.
  [[nodiscard]] double HeardPart(TimePoint aNow) const;
  /// Part of the limit that the reserve kept here is made of.
  [[nodiscard]] double ReservePart() const;
  [[nodiscard]] double OwnRate(TimePoint aNow) const;
  [[nodiscard]] double OwnCapacity(TimePoint aNow) const;
  [[nodiscard]] double ReserveCapacity() const;
  [[nodiscard]] double OthersCapacity(TimePoint aNow) const;
  [[nodiscard]] bool IsAlone() const { return this->daemons.value_or(1) <= 1; }
  /// Whether no reserve answers, for so long that none counts this daemon as connected any more. A reserve itself lives
  /// on what it keeps.
  [[nodiscard]] bool IsCutOff(TimePoint aNow) const;

  PooledBucketSettings settings;
  PooledLimit limit;
  bool configured = false;
  std::optional<int> daemons; ///< That share the limit; unknown until told.
  ReserveRole role = ReserveRole::None;
  TimePoint startedAt;
  TimePoint advancedAt;
  double total = 0;   ///< Admitted here since the start.
  double own = 0;     ///< Left of this daemon's part.
  double reserve = 0; ///< Left of the reserve kept here.
  double others = 0;  ///< Left of all other parts, as far as is known.

  // Over time, one generation after the other: news may be as old as one of them lasts
  TimePoint turnedAt;
  double surplusNew =
    0; ///< What the others' parts could not hold, unless they turn out to have used it.
  double surplusOld = 0;
  double lentNow = 0; ///< To daemons that have not told of its use.
  double lentBefore = 0;

  TimePoint refusedUntil;                   ///< Reserves are not asked for as much before.
  double refusedNeed = 0;                   ///< What they have refused.
  std::optional<TimePoint> unansweredSince; ///< Since then no reserve has answered.
  TimePoint unansweredLast;                 ///< When one was last asked in vain.
  std::map<std::uint64_t, Peer> peers;
};

} // namespace lagoonward
