#pragma once

#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Queueing/RequestQueue.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace lagoonward::testing {

/// A stream of requests to a pool.
struct LoadSource
{
  double perSecond = 1;
  int priority = 0;
  std::uint64_t account = 1;
  /// Factor on the rate at a time since the start; 1 if empty.
  std::function<double(double aSeconds)> shape = {};
};

/// What became of the requests of a source.
struct LoadResult
{
  int offered = 0;
  int served = 0;            ///< Before their deadline.
  int inTime = 0;            ///< Of these, before their target.
  double refusalSeconds = 0; ///< Summed time from arrival to refusal.

  [[nodiscard]] double Served() const
  {
    return this->offered > 0 ? 1.0 * this->served / this->offered : 1;
  }
  [[nodiscard]] double InTime() const
  {
    return this->served > 0 ? 1.0 * this->inTime / this->served : 1;
  }
};

/// Plays a load against a RequestQueue on a virtual clock. Each endpoint runs as many requests at once as it has slots, each
/// for `work` divided by its speed.
class QueueLoad
{
public:
  static constexpr double kWork = 0.25;
  static constexpr int kSlots = 4;

  explicit QueueLoad(int aEndpoints, RequestQueueSettings aSettings = {});

  /// Speed of an endpoint, as a factor, at a time since the start; 1 if not set.
  std::function<double(int aEndpoint, double aSeconds)> speed;
  double target = 0.6;   ///< Seconds.
  double deadline = 2.0; ///< Seconds.
  int probes =
    0; ///< Times that each request asks for a slot that is free now, before it asks to wait.

  /// Plays for so long; results in the order of the sources. Those that arrive in the first `aWarmUp` seconds don't count.
  [[nodiscard]] std::vector<LoadResult> Play(const std::vector<LoadSource>& aSources,
                                             double aSeconds, double aWarmUp = 3);

  /// Requests per second that all endpoints can do at speed 1.
  [[nodiscard]] double Capacity() const { return this->endpoints * kSlots / kWork; }

  VirtualClock clock;
  RequestQueue queue;

private:
  struct Event
  {
    double at = 0;
    std::function<void()> run;
    bool operator<(const Event& aOther) const { return this->at > aOther.at; }
  };

  void At(double aSeconds, std::function<void()> aRun);
  void Arrive(const LoadSource& aSource, LoadResult& aResult, double aEnd, double aWarmUp);
  void Send(const LoadSource& aSource, LoadResult& aResult, double aWarmUp);
  void Ask(SlotMessage aRequest, int aProbesLeft, double aArrivedAt, LoadResult* aResult);
  void Run(std::uint64_t aEndpoint, const SlotMessage& aRequest, double aArrivedAt,
           LoadResult* aResult);
  /// Time at which work that begins now is done, considering changes of the endpoint's speed.
  [[nodiscard]] double EndOfWork(int aEndpoint) const;

  int endpoints;
  double now = 0; ///< Seconds since the start.
  std::uint64_t nextLease = 1;
  std::mt19937_64 random{ 1 };
  std::priority_queue<Event> events;
};

} // namespace lagoonward::testing
