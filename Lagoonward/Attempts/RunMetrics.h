#pragma once

#include "Lagoonward/Attempts/RunService.h"

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>

#include <vector>

namespace lagoonward {

/// Exports the counters of the runs as metrics; the names are listed in docs/OPERATIONS.md.
class RunMetrics final : public prometheus::Collectable
{
public:
  explicit RunMetrics(const RunService& aRuns);
  [[nodiscard]] std::vector<prometheus::MetricFamily> Collect() const override;

private:
  const RunService& runs;
};

} // namespace lagoonward
