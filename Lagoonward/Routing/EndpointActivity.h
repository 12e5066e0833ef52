#pragma once

#include "Lagoonward/Routing/CircuitBreaker.h"

#include <array>
#include <cstdint>

namespace lagoonward {

/// Requests of this daemon at one endpoint: dispatches, finishes, pending prefill, call times and failures. Kept across
/// fleet snapshots. Load reports lag, so requests dispatched after a report was taken must be added to its figures.
/// Not thread-safe.
class EndpointActivity
{
public:
  static constexpr int kPriorityLevels = 8; ///< Number of engine priorities; see EnginePriority().

  EndpointActivity() = default;
  EndpointActivity(std::uint64_t aKey, TimePoint aFirstSeen);

  void OnDispatched(TimePoint aNow, int aUncachedTokens, int aPriority);
  void OnFirstToken(int aUncachedTokens, int aPriority);
  void OnFinished(TimePoint aNow);

  /// Dispatches minus finishes after aSince. Exact for the last kRecentEvents of each.
  [[nodiscard]] int InFlightChangeSince(TimePoint aSince) const;

  /// Dispatches after aSince, at most kRecentEvents.
  [[nodiscard]] int DispatchedSince(TimePoint aSince) const;

  /// Uncached prompt tokens of requests without a first token yet, at engine priority aPriority and above.
  [[nodiscard]] int PrefillPending(int aPriority) const;

  [[nodiscard]] std::uint64_t Key() const { return this->key; }
  [[nodiscard]] TimePoint FirstSeen() const { return this->firstSeen; }
  [[nodiscard]] int InFlight() const { return this->inFlight; }

  /// Records the result of a plain call for ExpectedCallSeconds().
  void OnCallEnded(double aSeconds, bool aSucceeded);

  /// Expected seconds of a plain call at this endpoint, with a penalty for failed calls, which have to be retried.
  /// Zero while no call has succeeded.
  [[nodiscard]] double ExpectedCallSeconds() const;

  /// Requests that the other daemons have in flight at the endpoint, as of their last report.
  void OnPeersInFlight(int aCount) { this->peersInFlight = aCount; }
  [[nodiscard]] int PeersInFlight() const { return this->peersInFlight; }

  CircuitBreaker breaker;

private:
  static constexpr std::size_t kRecentEvents = 32;

  /// Ring buffer of the times of the last kRecentEvents events.
  struct RecentEvents
  {
    std::array<TimePoint, kRecentEvents> times{};
    std::size_t next = 0;

    void Add(TimePoint aTime);
    [[nodiscard]] int CountSince(TimePoint aSince) const;
  };

  std::uint64_t key = 0;
  TimePoint firstSeen;
  int inFlight = 0;
  int peersInFlight = 0;
  double callSeconds = 0;     ///< Moving average over successful calls; zero before the first.
  double callFailureRate = 0; ///< Moving average of the fraction of calls that failed.
  std::array<int, kPriorityLevels> prefillPending{}; ///< Tokens, by engine priority.
  RecentEvents dispatched;
  RecentEvents finished;
};

} // namespace lagoonward
