#pragma once

#include "Lagoonward/Providers/PlatformHttpClient.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

namespace lagoonward {

/// The platform's weight store over HTTP: `GET /weights/{model}/{version}`, ended as soon as the
/// status is known. Safe from any thread.
class HttpWeightStore final : public WeightStore
{
public:
  HttpWeightStore(std::string aBaseUrl, PlatformSettings aSettings);

  [[nodiscard]] Result<void> Check(std::string_view aModel, std::string_view aVersion) override;

  /// Makes calls in progress, and all later ones, fail soon.
  void Interrupt();

private:
  PlatformHttpClient client;
};

} // namespace lagoonward
