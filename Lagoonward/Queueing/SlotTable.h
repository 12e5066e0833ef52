#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Queueing/EndpointPace.h"
#include "Lagoonward/Queueing/SlotMessages.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// One endpoint of a pool, as the list of endpoints has it.
struct PoolEndpoint
{
  std::uint64_t key = 0; ///< See EndpointKeyOf().
  int slots = 1;         ///< Requests that it runs at once.
  /// Tokens that fit into its memory; zero if memory does not limit its requests.
  std::uint64_t memoryTokens = 0;
  bool acceptsRequests =
    true; ///< False while it leaves or wants no requests; running ones still take their slots.
};

/// Which slots of a pool's endpoints are taken, and how fast each endpoint is. Performs no I/O. Not thread-safe.
class SlotTable
{
public:
  SlotTable(const SlotTableSettings& aSettings, const Clock& aClock);
  SlotTable(const SlotTable&) = delete;
  SlotTable& operator=(const SlotTable&) = delete;

  /// Replaces the list of endpoints. What is known of those that remain is kept.
  void SetEndpoints(std::span<const PoolEndpoint> aEndpoints);

  /// The best endpoint with room for a request: the one at which it is expected to end first. Nothing if there is none.
  /// @param aExcluded  keys of endpoints that must not be selected
  [[nodiscard]] std::optional<std::uint64_t> Select(double aWork, std::uint32_t aMemoryTokens,
                                                    std::span<const std::uint64_t> aExcluded) const;

  /// Takes a slot for a request, or extends its lease.
  void Take(std::uint64_t aEndpoint, const SlotMessage& aMessage);

  /// A request has ended; its slot is free (with Abandon, after `abandonedTime`). Only the first call has an effect.
  /// @param aAction  Complete, Fail, Lose, Abandon or Reject
  /// @param aHeld  with Complete: how long the request took, as its daemon has measured; zero if unknown
  void End(std::uint64_t aLease, SlotAction aAction, Milliseconds aHeld = Milliseconds(0));

  /// Frees the slot of a request that was not sent.
  void Release(std::uint64_t aLease);

  /// The endpoint at which a request has a slot.
  [[nodiscard]] std::optional<std::uint64_t> EndpointOf(std::uint64_t aLease) const;

  /// Frees the slots of requests that have ended without a message.
  void Expire();

  /// This process has stood still: how long the requests have run says nothing about their endpoints.
  void OnStandstill();

  /// Frees all slots of a daemon process that has ended.
  void OnRunEnded(std::uint64_t aRun);

  /// Expected seconds from the start of a request of that work to its end at an endpoint, considering how full it is, how
  /// often it fails and whether a request there is overdue.
  [[nodiscard]] double ExpectedSeconds(std::uint64_t aEndpoint, double aWork) const;

  /// The same at the fastest endpoint that accepts requests.
  [[nodiscard]] double FastestSeconds(double aWork) const;

  /// Work per second that all endpoints together do.
  [[nodiscard]] double WorkPerSecond() const;

  [[nodiscard]] int Taken() const; ///< Slots of all endpoints that are taken.
  [[nodiscard]] int Taken(std::uint64_t aEndpoint) const;
  [[nodiscard]] int Slots() const; ///< Slots of all endpoints that accept requests.
  [[nodiscard]] bool IsEmpty() const
  {
    return this->endpoints.empty();
  } ///< Whether it has no endpoints.

private:
  struct Lease
  {
    std::uint64_t id = 0;
    std::uint64_t run = 0;
    double work = 1;
    std::uint32_t memoryTokens = 0;
    bool isAbandoned = false;
    bool isDeclared = false; ///< It began at an unknown time before `begunAt`.
    TimePoint begunAt;
    TimePoint expiresAt;
  };

  struct State
  {
    PoolEndpoint endpoint;
    EndpointPace pace;
    std::vector<Lease> leases;
    std::uint64_t takenMemory = 0;
    int allowed = 0; ///< At most its slots; fewer after a rejection.
    std::optional<TimePoint> rejectedAt;
    std::optional<TimePoint> trialAt; ///< When it was last sent a request while it fails.
  };

  [[nodiscard]] const State* Find(std::uint64_t aEndpoint) const;
  [[nodiscard]] State* Find(std::uint64_t aEndpoint);
  /// Whether a request fits into the slots and the memory that are free.
  [[nodiscard]] bool HasRoom(const State& aState, std::uint32_t aMemoryTokens) const;
  /// Slots that may be taken now, as far as rejections are concerned.
  [[nodiscard]] int AllowedSlots(const State& aState) const;
  [[nodiscard]] bool IsFailing(const State& aState) const;
  /// Seconds per unit of work, learned or assumed.
  [[nodiscard]] double PaceOf(const State& aState) const;
  /// A request has been answered completely.
  void LearnPace(State& aState, const Lease& aLease, Milliseconds aHeld);
  /// How many times longer than usual the requests that it runs have taken so far; 1 unless they are overdue.
  [[nodiscard]] double Slowdown(const State& aState, TimePoint aNow) const;
  [[nodiscard]] double ExpectedSecondsAt(const State& aState, double aWork, TimePoint aNow) const;
  void Erase(State& aState, std::size_t aIndex);

  SlotTableSettings settings;
  const Clock& clock;
  std::vector<State> endpoints;
  std::unordered_map<std::uint64_t, std::uint64_t> endpointByLease;
  double meanPace =
    0; ///< Averaged seconds per unit of work over all endpoints; zero while unknown.
};

} // namespace lagoonward
