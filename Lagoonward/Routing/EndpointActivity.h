#pragma once

#include "Lagoonward/Routing/CircuitBreaker.h"

#include <array>
#include <cstdint>

namespace lagoonward {

/// What this daemon itself has sent to one endpoint and got back, kept across snapshots. Load reports lag: whatever
/// was dispatched since a report was taken has to be added to it. Not thread-safe.
class EndpointActivity
{
public:
  static constexpr int kPriorityLevels = 8; ///< Engine priorities that are told apart; see RouteScore.h.

  EndpointActivity() = default;
  EndpointActivity(std::uint64_t aKey, TimePoint aFirstSeen);

  void OnDispatched(TimePoint aNow, int aUncachedTokens, int aPriority);
  void OnFirstToken(int aUncachedTokens, int aPriority);
  void OnFinished(TimePoint aNow);

  /// Dispatches less finishes since that moment. Exact for the last kRecentEvents of each.
  [[nodiscard]] int InFlightChangeSince(TimePoint aSince) const;

  /// Dispatches since that moment, kRecentEvents at most.
  [[nodiscard]] int DispatchedSince(TimePoint aSince) const;

  /// Prompt tokens sent whose first token has not come, of that engine priority and above.
  [[nodiscard]] int PrefillPending(int aPriority) const;

  [[nodiscard]] std::uint64_t Key() const { return this->key; }
  [[nodiscard]] TimePoint FirstSeen() const { return this->firstSeen; }
  [[nodiscard]] int InFlight() const { return this->inFlight; }

  /// Notes how a plain call ended, for ExpectedCallSeconds().
  void OnCallEnded(double aSeconds, bool aSucceeded);

  /// Seconds that a plain call is expected to take there, failed ones tried again; zero while unknown.
  [[nodiscard]] double ExpectedCallSeconds() const;

  /// Requests that the other daemons had in flight there when they last told.
  void OnPeersInFlight(int aCount) { this->peersInFlight = aCount; }
  [[nodiscard]] int PeersInFlight() const { return this->peersInFlight; }

  CircuitBreaker breaker;

private:
  static constexpr std::size_t kRecentEvents = 32;

  /// Times of the last events, overwritten in turn.
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
  double callSeconds = 0;                    ///< Averaged; zero before the first.
  double callFailureRate = 0;                   ///< Averaged part of calls that failed.
  std::array<int, kPriorityLevels> prefillPending{}; ///< Tokens, by engine priority.
  RecentEvents dispatched;
  RecentEvents finished;
};

} // namespace lagoonward
