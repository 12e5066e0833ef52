#pragma once

#include "Lagoonward/Providers/PlatformHttpClient.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

namespace lagoonward {

/// Implements CloudService over HTTP: `POST /hosts`, `DELETE /hosts/{id}`, `GET /prices`, `GET /notices`.
/// StartHost() returns Overloaded when the cloud refuses to start the host (503 `no_capacity`, any 4xx except 408 and
/// 429), and PlatformUnavailable when the call got no response. The host may have been started then, so the call has to
/// be retried with the same token. Thread-safe.
class HttpCloudService final : public CloudService
{
public:
  HttpCloudService(std::string aBaseUrl, PlatformSettings aSettings);

  [[nodiscard]] Result<std::string> StartHost(const HostRequest& aRequest) override;

  /// Succeeds also when the host no longer exists.
  [[nodiscard]] Result<void> StopHost(std::string_view aId) override;

  /// Malformed prices and notices are logged and skipped.
  [[nodiscard]] Result<std::vector<Price>> Prices() override;
  [[nodiscard]] Result<NoticePage> Notices(Offset aFrom, Milliseconds aWait) override;

  /// Makes calls in progress and all later calls fail soon. Thread-safe.
  void Interrupt();

private:
  PlatformHttpClient client;
};

} // namespace lagoonward
