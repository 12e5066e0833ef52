#pragma once

#include "Lagoonward/Admission/CompanionKeys.h"
#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoonward {

/// Settings of the filter of requests that crash endpoints.
struct PoisonFilterSettings
{
  std::string_view subject = "request"; ///< What the keys stand for, in logs.

  /// Number of crashes from which all daemons are notified, so that a daemon on which the request completed
  /// successfully can report it.
  int crashesToSuspect = 2;

  /// Sum of crash weights from which the request is sent to no endpoint.
  int crashesToPoison = 3;

  /// Weight of a crash after part of the answer had been received: such a request is less likely to be the cause.
  double partialAnswerWeight = 0.5;

  /// How long a request stays poisoned. It is sent again after that, so that a fixed service receives it.
  Milliseconds poisonRetention{ 600'000 };

  /// How long crashes are counted. Longer than the poisoned status, so that one further crash after its expiry restores
  /// it.
  Milliseconds crashRetention{ 1'200'000 };

  /// A request that completed successfully within this time is not blamed for a crash: it ran there by coincidence.
  Milliseconds completionRetention{ 10'000 };

  /// Endpoints of one failure domain that are lost within this time count as one event, unless the request was sent to
  /// the second after the first was lost.
  Milliseconds sameEventWindow{ 1000 };

  /// Verdicts with less time left are not sent: otherwise daemons would send them back and forth without end.
  Milliseconds minimumVerdictLifetime{ 2000 };

  std::size_t maximumRequests =
    4096; ///< With crashes; those with the fewest are evicted first, then the oldest.
  std::size_t maximumCompletions =
    4096; ///< Requests that completed successfully; the oldest are evicted first.
  std::size_t maximumVerdicts =
    64; ///< In one message: poisoned requests first, then those with the most time left.
};

/// Reports that an endpoint was lost while it ran a request.
struct CrashReport
{
  std::uint64_t request = 0;     ///< Identifies the content of the request; not its id.
  std::uint64_t endpoint = 0;    ///< Identifies one run of an endpoint's process.
  std::uint64_t domain = 0;      ///< Hash of its failure domain.
  std::int64_t age = 0;          ///< Milliseconds since the loss.
  std::int64_t sentAge = 0;      ///< Milliseconds since the request was sent there.
  bool hadPartialAnswer = false; ///< Part of its answer had been received.
  /// Other keys of the same request of which the reporting daemon does not know that they are harmless.
  CompanionKeys companions;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->request, this->endpoint, this->domain, this->age, this->sentAge,
             this->hadPartialAnswer, this->companions);
  }
};

/// Status of a request. A higher value replaces a lower one.
enum class PoisonStatus : std::uint8_t
{
  Suspect,  ///< More than one endpoint crashed while running it.
  Poisoned, ///< It is considered to crash endpoints.
  Cleared, ///< It completed successfully within `completionRetention`. Takes precedence over the others.
};

/// The status of a request as exchanged between daemons.
struct PoisonVerdict
{
  std::uint64_t request = 0;
  PoisonStatus status = PoisonStatus::Suspect;
  std::uint32_t expiresIn = 0; ///< Milliseconds.
  CompanionKeys companions;    ///< Present at each of the crashes.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->request, this->status, this->expiresIn, this->companions);
  }
};

/// Detects requests that crash the endpoints that run them ("poison request", "query of death") and stops them from
/// being sent. Each crash is reported to the daemons that own the request's key, which count crashes; the resulting
/// status is sent to all daemons with their other updates. After the crash that reaches the threshold, further sends
/// are therefore limited to one round of updates, independent of the number of daemons. Thread-safe; performs no I/O.
///
/// A crashing endpoint fails all requests that run on it, so one crash is not sufficient evidence. A request is not
/// blamed if it completed successfully a short time ago, on this or another daemon, if its endpoints were lost together
/// with their failure domain, or if it ran on only two endpoints that crashed.
class PoisonRequestFilter
{
public:
  using Listener = std::function<void(const CrashReport& aReport)>;

  PoisonRequestFilter(const PoisonFilterSettings& aSettings, const Clock& aClock);

  /// Sets the listener that is called for each crash that was observed by this daemon and counted, in order to report
  /// it to the owners of the request's key. Must be called before any other method.
  void SetReportListener(Listener aListener);

  /// Whether the request must not be sent to any endpoint.
  [[nodiscard]] bool IsPoisoned(std::uint64_t aRequest);

  /// Whether a request with these keys must not be sent to any endpoint: one of them is poisoned, and all that were always
  /// present at its crashes are among the keys. A request without these is sent, as they may be the cause.
  [[nodiscard]] bool IsAnyPoisoned(std::span<const std::uint64_t> aKeys);

  /// Whether an endpoint has recently completed a request with that key successfully.
  [[nodiscard]] bool HasCompletedRecently(std::uint64_t aRequest);

  /// Whether the request is suspect or poisoned, so that one further send could cause one crash more than allowed.
  [[nodiscard]] bool IsSuspect(std::uint64_t aRequest);

  /// Handles an endpoint that was lost to this daemon, without announcing its end, while it ran a request.
  void OnCrash(const CrashReport& aReport);

  /// Handles a crash that another daemon observed; this daemon owns the request's key.
  void OnRemoteCrash(const CrashReport& aReport);

  /// Handles a request that an endpoint completed successfully.
  void OnRequestCompleted(std::uint64_t aRequest);

  /// Returns the verdicts to send to other daemons.
  [[nodiscard]] std::vector<PoisonVerdict> Verdicts();

  /// Applies the verdicts of another daemon.
  void OnVerdicts(std::span<const PoisonVerdict> aVerdicts);

  /// Number of requests that are poisoned now.
  [[nodiscard]] int PoisonedCount();

private:
  /// One crash of an endpoint.
  struct Crash
  {
    std::uint64_t endpoint = 0;
    std::uint64_t domain = 0;
    TimePoint at;
    double weight = 1; ///< Contribution to the sum that is compared with `crashesToPoison`.
  };

  /// All crashes of one key.
  struct CrashRecord
  {
    std::vector<Crash> crashes; ///< The oldest first.
    CompanionKeys companions;   ///< Present at each of them.
  };

  struct StatusEntry
  {
    PoisonStatus status = PoisonStatus::Suspect;
    TimePoint expiresAt;
    CompanionKeys companions;
  };

  /// @return whether the report was counted
  [[nodiscard]] bool CountCrash(const CrashReport& aReport);
  /// Adds a crash to those of its request, or merges it with one of the same endpoint or event.
  void AddCrash(std::vector<Crash>& aKnown, const Crash& aCrash, TimePoint aSentAt) const;
  [[nodiscard]] bool CompletedRecently(std::uint64_t aRequest, TimePoint aNow);
  [[nodiscard]] const StatusEntry* FindStatus(std::uint64_t aRequest, TimePoint aNow);
  /// Replaces a lower status; of the same status, only companions that both have remain.
  void RaiseStatus(std::uint64_t aRequest, const StatusEntry& aStatus);
  void EvictCrashes(TimePoint aNow);

  PoisonFilterSettings settings;
  const Clock& clock;
  Listener listener;
  std::mutex mutex;                                        ///< Guards all below.
  std::unordered_map<std::uint64_t, CrashRecord> crashes;  ///< By request.
  std::unordered_map<std::uint64_t, StatusEntry> statuses; ///< By request.
  std::unordered_map<std::uint64_t, TimePoint>
    completions; ///< Time of the last successful completion, by request.
  std::deque<std::pair<TimePoint, std::uint64_t>> completionOrder;
};

} // namespace lagoonward
