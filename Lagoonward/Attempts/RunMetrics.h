#pragma once

#include "Lagoonward/Attempts/RunService.h"

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>

#include <vector>

namespace lagoonward {

/// The runs' counters as metrics; their names are in docs/OPERATIONS.md.
class RunMetrics final : public prometheus::Collectable
{
public:
  explicit RunMetrics(const RunService& aRuns);
  [[nodiscard]] std::vector<prometheus::MetricFamily> Collect() const override;

private:
  const RunService& runs;
};

} // namespace lagoonward
