#pragma once

#include "Lagoonward/Providers/PlatformHttpClient.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

namespace lagoonward {

/// The platform's host list over HTTP: `GET /hosts`. A malformed entry is logged and left out, so
/// that it hides none of the others. Safe from any thread.
class HttpHostListService final : public HostListService
{
public:
  HttpHostListService(std::string aBaseUrl, PlatformSettings aSettings);

  [[nodiscard]] Result<std::vector<HostEntry>> Hosts() override;

  /// Makes calls in progress, and all later ones, fail soon.
  void Interrupt();

private:
  PlatformHttpClient client;
};

} // namespace lagoonward
