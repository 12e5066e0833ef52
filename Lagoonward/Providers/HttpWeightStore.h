#pragma once

#include "Lagoonward/Providers/PlatformHttpClient.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

namespace lagoonward {

/// Implements WeightStore over HTTP: `GET /weights/{model}/{version}`, aborted as soon as the status is received.
/// Thread-safe.
class HttpWeightStore final : public WeightStore
{
public:
  HttpWeightStore(std::string aBaseUrl, PlatformSettings aSettings);

  [[nodiscard]] Result<void> Check(std::string_view aModel, std::string_view aVersion) override;

  /// Makes calls in progress and all later calls fail soon. Thread-safe.
  void Interrupt();

private:
  PlatformHttpClient client;
};

} // namespace lagoonward
