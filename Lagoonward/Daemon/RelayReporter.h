#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Relay/RelayObserver.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <atomic>
#include <functional>
#include <map>
#include <string>

namespace lagoonward {

/// Endpoints of one service, counted by state.
struct EndpointTally
{
  int live = 0;
  int leaving = 0;
};

/// What a daemon believes at the moment at which its metrics are read.
struct RelayState
{
  std::int64_t configurationVersion = 0;          ///< Zero while none is in force.
  std::map<std::string, EndpointTally> endpoints; ///< By service.
  int daemons = 0;                                ///< That are thought to live, this one included.
  int openRequests = 0;                           ///< Callers that wait for an answer here.
  bool leads = false;                             ///< Whether this daemon holds the lease.
  std::int64_t refusedRecords = 0; ///< Records of endpoints so far that could not be read.
  bool readsEndpoints = false;     ///< Whether it reads endpoints' records for all.
  Milliseconds endpointsAge{ 0 };  ///< How old the picture of the endpoints is.
  int poisonedRequests = 0;        ///< Requests that are kept from all endpoints.
  int limitedEndpoints = 0;        ///< Endpoints that have named a limit.
};

/// Writes down what happens to relayed requests: a log line for each decision, counters and latencies.
class RelayReporter final : public RelayObserver
{
public:
  /// Told of each request that an endpoint has begun to run.
  using BeganHandler = std::function<void(const RelayCall&)>;

  /// Told of each send and what it asks of the endpoint.
  using SentHandler = std::function<void(const RelayCall&, const EngineWork&)>;

  explicit RelayReporter(const Clock& aClock);

  /// Set before the first request.
  void OnBeganDo(BeganHandler aHandler);
  void OnSentDo(SentHandler aHandler);
  /// How old the picture of the endpoints is, for what is written down of each send.
  void SetEndpointsAge(std::function<Milliseconds()> aAge);

  /// The metrics page, in Prometheus' text form.
  [[nodiscard]] std::string MetricsText(const RelayState& aState);

  void OnAccepted(const RelayCall& aCall) override;
  void OnSent(const RelayCall& aCall, std::string_view aEndpoint, int aSend,
              const EngineWork& aWork) override;
  void OnBegan(const RelayCall& aCall) override;
  void OnAttemptFailed(const RelayCall& aCall, const FailedAttempt& aFailed) override;
  void OnMoved(const RelayCall& aCall, std::string_view aFrom, std::string_view aTo, bool aMoved,
               std::string_view aReason) override;
  void OnEnded(const RelayCall& aCall, const RelayEnd& aEnd) override;

private:
  [[nodiscard]] std::int64_t AgeOf(const RelayCall& aCall) const;
  void SetGauge(const std::string& aName, const std::string& aHelp, double aValue);
  void SetEndpoints(const RelayState& aState);

  const Clock& clock;
  BeganHandler onBegan;
  SentHandler onSent;
  std::function<Milliseconds()> endpointsAge = [] { return Milliseconds(0); };
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& ended;
  prometheus::Family<prometheus::Counter>& attempts;
  prometheus::Family<prometheus::Histogram>& firstByte;
};

} // namespace lagoonward
