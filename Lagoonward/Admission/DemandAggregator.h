#pragma once

#include "Lagoonward/Admission/DemandView.h"

#include <unordered_map>

namespace lagoonward {

/// Settings of the aggregation of demand.
struct DemandAggregatorSettings
{
  Milliseconds silenceTimeout{
    1600
  }; ///< The daemons of a source that sends nothing for this long are not counted. Same as for pooled limits.
  Milliseconds sourceRetention{ 20'000 }; ///< A source that sends nothing for this long is removed.
  std::size_t maximumClients =
    4096; ///< Further clients are ignored; no deployment has as many accounts.
};

/// Aggregates the clients' demand reported by several sources (daemons or groups of daemons) and returns to each source
/// the sum over the others. Handling a report and computing a sum take time proportional to the number of clients that
/// one source reports.
///
/// Admitted totals in a sum never decrease: the first total that a source reports is its baseline, and the increase
/// since then stays in the sum after the source is removed. Not thread-safe.
class DemandAggregator
{
public:
  DemandAggregator(const DemandAggregatorSettings& aSettings, const Clock& aClock);

  /// Applies a source's report of its demand and totals.
  /// @param aSeries   identifies the counter series of its totals; a different one starts a new baseline
  /// @param aDaemons  number of daemons that the source represents
  void OnReport(std::uint64_t aSource, std::uint64_t aSeries, int aDaemons,
                std::span<const ClientDemand> aDemand);

  /// The sum over all sources but one. Its series changes when this source is added again or starts a new baseline.
  [[nodiscard]] AggregatedDemand SumOfOthers(std::uint64_t aSource) const;

  /// The sum over all sources.
  [[nodiscard]] AggregatedDemand Sum() const;

  /// Removes sources that have sent nothing for `sourceRetention`. Must be called several times a second.
  void RemoveStaleSources();

private:
  /// What one source reported about one client.
  struct ClientRecord
  {
    double tokensPerSecond = 0;
    int running = 0;
    double lastTotal = 0; ///< Admitted total in the last report.
    double increase = 0;  ///< Growth of the admitted total since the baseline.
  };

  struct Source
  {
    TimePoint receivedAt;
    std::uint64_t series = 0;
    std::uint64_t generation = 0; ///< Unique for each baseline of each source.
    int daemons = 0;
    std::unordered_map<std::uint64_t, ClientRecord> records; ///< By client.
  };

  void ResetBaseline(Source& aSource, std::uint64_t aSeries);
  void SubtractSource(const Source& aSource);
  [[nodiscard]] AggregatedDemand SumExcept(const Source* aSource) const;

  DemandAggregatorSettings settings;
  const Clock& clock;
  std::uint64_t lastGeneration = 0;
  std::unordered_map<std::uint64_t, Source> sources;
  std::unordered_map<std::uint64_t, ClientDemand> totals; ///< By client, over all sources.
};

} // namespace lagoonward
