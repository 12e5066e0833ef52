#pragma once

#include "Lagoonward/Providers/PlatformHttpClient.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

namespace lagoonward {

/// Implements HostListService over HTTP: `GET /hosts`. A malformed entry is logged and skipped, so that the other
/// entries remain usable. Thread-safe.
class HttpHostListService final : public HostListService
{
public:
  HttpHostListService(std::string aBaseUrl, PlatformSettings aSettings);

  [[nodiscard]] Result<std::vector<HostEntry>> Hosts() override;

  /// Makes calls in progress and all later calls fail soon. Thread-safe.
  void Interrupt();

private:
  PlatformHttpClient client;
};

} // namespace lagoonward
