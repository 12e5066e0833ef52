#include "Lagoonward/Attempts/RunMetrics.h"

namespace lagoonward {

namespace {

prometheus::MetricFamily
MakeFamily(const char* aName, const char* aHelp, prometheus::MetricType aType, double aValue)
{
  prometheus::ClientMetric metric;
  metric.counter.value = aValue;
  metric.gauge.value = aValue;
  return { aName, aHelp, aType, { metric } };
}

prometheus::MetricFamily
MakeCounter(const char* aName, const char* aHelp, const std::atomic<std::uint64_t>& aValue)
{
  return MakeFamily(aName, aHelp, prometheus::MetricType::Counter,
                    static_cast<double>(aValue.load()));
}

} // namespace

RunMetrics::RunMetrics(const RunService& aRuns)
  : runs(aRuns)
{
}

std::vector<prometheus::MetricFamily>
RunMetrics::Collect() const
{
  const RunCounters& counters = this->runs.Counters();
  return {
    MakeFamily("lagoonward_requests_active", "Requests in progress.", prometheus::MetricType::Gauge,
               this->runs.ActiveRuns()),
    MakeCounter("lagoonward_requests_accepted_total", "Requests admitted.", counters.accepted),
    MakeCounter("lagoonward_requests_whole_total", "Requests answered whole.", counters.succeeded),
    MakeCounter("lagoonward_requests_failed_total", "Admitted requests answered with an error.",
                counters.failed),
    MakeCounter("lagoonward_attempts_total", "Attempts sent to endpoints.", counters.attempts),
    MakeCounter("lagoonward_retries_total", "Attempts made after a failure.", counters.retries),
    MakeCounter("lagoonward_moves_total", "Streams moved off leaving endpoints.", counters.moves),
    MakeCounter("lagoonward_silent_connections_total", "Connections given up for silence.",
                counters.silentConnections),
    MakeCounter("lagoonward_tokens_relayed_total", "Tokens relayed to callers.",
                counters.tokensRelayed),
    MakeCounter("lagoonward_tokens_resent_total",
                "Tokens sent again to another endpoint, an upper bound of those recomputed.",
                counters.tokensResent),
  };
}

} // namespace lagoonward
