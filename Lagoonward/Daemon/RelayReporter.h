#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Queueing/PoolLedger.h"
#include "Lagoonward/Relay/RelayObserver.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace lagoonward {

/// Number of endpoints of one service, by state.
struct EndpointCounts
{
  int live = 0;
  int leaving = 0;
};

/// State of a daemon when its metrics are read.
struct RelayState
{
  std::int64_t configurationVersion = 0;           ///< Zero while none is in force.
  std::map<std::string, EndpointCounts> endpoints; ///< By service of the configuration.
  EndpointCounts endpointsOfOtherServices;         ///< Which the configuration does not name.
  int daemons = 0;                                 ///< Regarded as live, this one included.
  int openRequests = 0;                ///< Callers that wait for a response from this daemon.
  std::size_t requestBytes = 0;        ///< See ConnectionTable::Held().
  std::uint64_t closedConnections = 0; ///< See ConnectionTable::Closed().
  bool isLeader = false;               ///< Whether this daemon holds the lease.
  std::int64_t refusedRecords = 0;     ///< Endpoint records so far that could not be decoded.
  bool isEndpointReader = false;       ///< Whether it reads the endpoint records for all daemons.
  Milliseconds endpointsAge{ 0 };      ///< Age of the snapshot of the endpoints.
  int poisonedRequests = 0; ///< Requests that are sent to no endpoint, as they crash them.
  int poisonedParts = 0;    ///< Parts of prompts for which the same holds.
  int limitedEndpoints = 0; ///< Endpoints that have reported a limit of requests.
  int brittleServices = 0;  ///< Services whose endpoints crash when they reject too many requests.
  int leavingByAnswer = 0;  ///< Endpoints whose answers say that they leave.
  int backoffEndpoints = 0; ///< Endpoints that want no requests of this daemon for now.
  PoolLedgerState queues;   ///< Queues of the pools of endpoints that this daemon owns.
};

/// Reports what happens to relayed requests: a log event for each decision, and metrics of counts and latencies.
class RelayReporter final : public RelayObserver
{
public:
  /// Called for each request that an endpoint has begun to run.
  using BeganHandler = std::function<void(const RelayCall&)>;

  /// Called for each send, with the work that it causes at the endpoint.
  using SentHandler = std::function<void(const RelayCall&, const EngineWork&)>;

  explicit RelayReporter(const Clock& aClock);

  /// The handlers must be set before the first request.
  void SetBeganHandler(BeganHandler aHandler);
  void SetSentHandler(SentHandler aHandler);
  /// Sets the function that returns the age of the snapshot of the endpoints, for the log event of each send.
  void SetEndpointsAge(std::function<Milliseconds()> aAge);

  /// The metrics page in the Prometheus text format.
  [[nodiscard]] std::string MetricsText(const RelayState& aState);

  void OnAccepted(const RelayCall& aCall) override;
  void OnSent(const RelayCall& aCall, const Endpoint& aEndpoint, const SendRecord& aSend) override;
  void OnResumption(const RelayCall& aCall, ResumptionOutcome aOutcome,
                    std::string_view aSoftwareVersion) override;
  void OnStarted(const RelayCall& aCall) override;
  void OnAttemptFailed(const RelayCall& aCall, const FailedAttempt& aFailed) override;
  void OnMoved(const RelayCall& aCall, const MoveReport& aMove) override;
  void OnEnded(const RelayCall& aCall, const RelayResult& aEnd) override;

private:
  [[nodiscard]] std::int64_t AgeOf(const RelayCall& aCall) const;
  void SetGauge(const std::string& aName, const std::string& aHelp, double aValue);
  void SetEndpointGauges(const RelayState& aState);
  void SetQueueMetrics(const PoolLedgerState& aState);

  const Clock& clock;
  WallTime startedAt; ///< Of this process.
  BeganHandler onBegan;
  SentHandler onSent;
  std::function<Milliseconds()> endpointsAge = [] { return Milliseconds(0); };
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& ended;
  prometheus::Family<prometheus::Counter>& attempts;
  prometheus::Family<prometheus::Counter>& streamEnds;
  prometheus::Family<prometheus::Counter>& resumptions;
  prometheus::Family<prometheus::Histogram>& firstByte;
  prometheus::Family<prometheus::Counter>& slotRequests;
  prometheus::Family<prometheus::Histogram>& slotWait;
};

} // namespace lagoonward
