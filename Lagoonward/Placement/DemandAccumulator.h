#pragma once

#include "Lagoonward/Core/Clock.h"

#include "Lagoonward/Routing/EngineWork.h"

#include <cstdint>
#include <map>
#include <string>

namespace lagoonward {

/// Computes the rate of work that all daemons together send to each service, from the totals that they report. Totals
/// are cumulative per run of a daemon, so messages may be lost or repeated. Not thread-safe.
class DemandAccumulator
{
public:
  /// @param aRetention  a daemon that has sent no report for longer than this is not counted
  DemandAccumulator(Milliseconds aRetention, const Clock& aClock);

  /// Applies a daemon's report of the work that it has sent to endpoints since its start.
  /// @param aRun  identifies the daemon and its run
  void OnTotals(std::uint64_t aRun, const WorkByService& aTotals);

  /// Work per second that all daemons together send to a service.
  [[nodiscard]] EngineWork RateOf(const std::string& aService) const;

  /// The same for all known services.
  [[nodiscard]] WorkByService Rates() const;

private:
  struct Run
  {
    TimePoint receivedAt;
    WorkByService totals;
    WorkByService rates; ///< Work per second, averaged over recent messages.
  };

  Milliseconds retention;
  const Clock& clock;
  std::map<std::uint64_t, Run> runs;
};

} // namespace lagoonward
