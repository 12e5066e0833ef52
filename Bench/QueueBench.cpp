#include "Bench/QueueBench.h"

#include "Bench/AllocationCount.h"
#include "Bench/Decisions/Random.h"
#include "Bench/ThreadTime.h"
#include "Lagoonward/Core/SystemClock.h"
#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Queueing/PoolLedger.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <iostream>
#include <memory>
#include <numeric>

namespace lagoonward::bench {

namespace {

constexpr int kEndpoints = 3000;
constexpr int kSlotsPerEndpoint = 4;
constexpr int kDaemons = 300;
constexpr int kAccounts = 20;
constexpr int kPriorities = 3;
constexpr int kDecisions = 50000;
constexpr int kWarmUp = 20000;
constexpr int kUpdates = 100;
constexpr double kUpdateSeconds = 0.02;
constexpr double kServiceSeconds = 0.25;
constexpr double kEmptyLoad = 0.7; ///< Part of the slots that are taken while nothing waits.
constexpr std::uint32_t kLongMs = 100'000;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr unsigned kLeaseBits = 40; ///< Of a lease, below the index of its pool.

/// A virtual clock that takes as long to read as the system's.
class CostedClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const override
  {
    (void)this->system.Now();
    return this->played.Now();
  }
  [[nodiscard]] WallTime WallNow() const override { return this->played.WallNow(); }
  [[nodiscard]] TimePoint BootNow() const override { return this->played.BootNow(); }

  void Advance(double aSeconds)
  {
    this->played.Advance(std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(aSeconds)));
  }

private:
  SystemClock system;
  VirtualClock played;
};

QueuePoolsPtr
MakePools()
{
  FleetSnapshot fleet;
  for (int index = 0; index < kEndpoints; ++index) {
    Endpoint endpoint;
    endpoint.id = fmt::format("host-{}", index);
    endpoint.name = "calls";
    endpoint.sequences = kSlotsPerEndpoint;
    fleet.endpoints.push_back(std::move(endpoint));
  }
  return std::make_shared<const QueuePools>(fleet, QueuePoolSettings{},
                                            [](std::string_view) { return true; });
}

double
Mean(const std::vector<double>& aValues)
{
  const double sum = std::accumulate(aValues.begin(), aValues.end(), 0.0);
  return aValues.empty() ? 0 : sum / static_cast<double>(aValues.size());
}

double
Percentile(std::vector<double> aValues, std::size_t aPercent)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.empty() ? 0 : aValues[aValues.size() * aPercent / 100];
}

/// Requests of one pool.
struct PoolLoad
{
  std::uint64_t key = 0;
  std::deque<std::uint64_t> inFlight; ///< Leases, the oldest first.
  std::vector<SlotMessage> waiting;   ///< In no order.
};

/// Plays requests to the pools: each decision ends the oldest request of a pool at random and sends the pool a new one.
class QueueRun
{
public:
  /// @param aWaiting  requests that wait in each pool; zero for queues that are empty
  explicit QueueRun(int aWaiting)
    : ledger({}, this->clock)
    , pools(MakePools())
  {
    this->ledger.SetPools(this->pools);
    for (const QueuePool& pool : this->pools->PoolsOf("calls")) {
      this->loads.push_back({ pool.key, {}, {} });
      const int requests =
        aWaiting > 0 ? pool.slots + aWaiting : static_cast<int>(kEmptyLoad * pool.slots);
      for (int request = 0; request < std::max(requests, 1); ++request) {
        (void)this->Send(this->MakeRequest(this->loads.size() - 1));
      }
    }
  }

  nlohmann::ordered_json Measure()
  {
    for (int decision = -kWarmUp; decision < kDecisions; ++decision) {
      this->Decide(decision >= 0);
    }
    // Without ends of requests, the updates refuse what waits
    const PoolLedgerState state = this->ledger.State();
    std::vector<double> updates;
    for (int update = 0; update < kUpdates; ++update) {
      this->clock.Advance(kUpdateSeconds);
      updates.push_back(Time([&] { this->ledger.Update(); }));
      this->RecordGrants();
    }
    return { { "endpoints", kEndpoints },
             { "pools", state.pools },
             { "daemons", kDaemons },
             { "waiting_per_pool", state.waiting / std::max(state.pools, 1) },
             { "granted", state.counts.granted },
             { "refused", state.counts.refused },
             { "decisions", this->decisions.size() },
             { "decision_mean_us", Mean(this->decisions) },
             { "decision_p50_us", Percentile(this->decisions, 50) },
             { "decision_p99_us", Percentile(this->decisions, 99) },
             { "poll_mean_us", Mean(this->polls) },
             { "update_of_all_mean_us", Mean(updates) },
             { "allocations", this->allocations } };
  }

private:
  void Decide(bool aCounts)
  {
    // So that a request takes `kServiceSeconds`
    this->clock.Advance(kServiceSeconds / (kEndpoints * kSlotsPerEndpoint));
    const std::size_t index = this->random.Next() % this->loads.size();
    PoolLoad& load = this->loads[index];
    if (load.inFlight.empty()) {
      return;
    }
    SlotMessage end;
    end.pool = load.key;
    end.lease = load.inFlight.front();
    end.action = SlotAction::Complete;
    load.inFlight.pop_front();
    const SlotMessage request = this->MakeRequest(index);
    const std::uint64_t before = AllocationCount();
    const double time = this->Send(end) + this->Send(request);
    const std::uint64_t after = AllocationCount();
    if (aCounts) {
      this->decisions.push_back(time);
      this->allocations += after - before;
    }
    if (aCounts && !load.waiting.empty()) {
      const SlotMessage poll = load.waiting[this->random.Next() % load.waiting.size()];
      this->polls.push_back(this->Send(poll));
    }
  }

  SlotMessage MakeRequest(std::size_t aPool)
  {
    SlotMessage request;
    request.pool = this->loads[aPool].key;
    request.run = static_cast<std::uint64_t>(this->random.Between(1, kDaemons));
    request.lease = (aPool << kLeaseBits) + this->nextLease++;
    request.leaseMs = kLongMs;
    request.waitMs = kLongMs;
    request.targetMs = kLongMs;
    request.budgetMs = kLongMs;
    request.priority = this->random.Between(0, kPriorities - 1);
    request.account = static_cast<std::uint64_t>(this->random.Between(1, kAccounts));
    this->loads[aPool].waiting.push_back(request);
    return request;
  }

  /// Microseconds that a message takes.
  double Send(const SlotMessage& aMessage)
  {
    const double time = Time([&] {
      this->ledger.Handle(aMessage, true, [this, lease = aMessage.lease](const SlotReply& aReply) {
        if (aReply.answer == SlotAnswer::Granted) {
          this->granted.push_back(lease);
        }
      });
    });
    this->RecordGrants();
    return time;
  }

  /// Microseconds of processor time that a call takes.
  template<class Call>
  static double Time(const Call& aCall)
  {
    const double start = ThreadSeconds();
    aCall();
    return kMicrosecondsPerSecond * (ThreadSeconds() - start);
  }

  void RecordGrants()
  {
    for (const std::uint64_t lease : this->granted) {
      PoolLoad& load = this->loads[lease >> kLeaseBits];
      std::erase_if(load.waiting, [&](const SlotMessage& aEach) { return aEach.lease == lease; });
      load.inFlight.push_back(lease);
    }
    this->granted.clear();
  }

  CostedClock clock;
  PoolLedger ledger;
  QueuePoolsPtr pools;
  std::vector<PoolLoad> loads;
  std::vector<std::uint64_t> granted; ///< Leases that are not recorded in `loads` yet.
  Random random{ 1 };
  std::uint64_t nextLease = 1;
  std::vector<double> decisions; ///< Microseconds of each, as the next one.
  std::vector<double> polls;
  std::uint64_t allocations = 0; ///< Sum over all decisions.
};

} // namespace

int
RunQueueBench(std::span<const std::string> aArguments)
{
  const bool json = aArguments.size() == 1 && aArguments.front() == "--json";
  if (!json && !aArguments.empty()) {
    std::cerr << "usage: lagoonward-bench queue [--json]\n";
    return 2;
  }
  for (const int waiting : { 0, 100, 300 }) {
    const nlohmann::ordered_json result = QueueRun(waiting).Measure();
    if (json) {
      std::cout << result.dump() << '\n';
    } else {
      std::cout << fmt::format(
        "{:>4} waiting in each of {} pools: mean {:.1f} us, p99 {:.1f} us; a poll {:.1f} us\n",
        result["waiting_per_pool"].get<int>(), result["pools"].get<int>(),
        result["decision_mean_us"].get<double>(), result["decision_p99_us"].get<double>(),
        result["poll_mean_us"].get<double>());
    }
  }
  return 0;
}

} // namespace lagoonward::bench
