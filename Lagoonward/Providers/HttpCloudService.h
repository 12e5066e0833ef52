#pragma once

#include "Lagoonward/Providers/PlatformHttpClient.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

namespace lagoonward {

/// The cloud's interface over HTTP: `POST /hosts`, `DELETE /hosts/{id}`, `GET /prices`,
/// `GET /notices`. A host that the cloud refuses to start (503 `no_capacity`, any 4xx but 408 and
/// 429) is Overloaded; a call without an answer is PlatformUnavailable and may have started the host, so repeat it with
/// the same token. Safe from any thread.
class HttpCloudService final : public CloudService
{
public:
  HttpCloudService(std::string aBaseUrl, PlatformSettings aSettings);

  [[nodiscard]] Result<std::string> StartHost(const HostRequest& aRequest) override;

  /// A host that is not there any more counts as stopped.
  [[nodiscard]] Result<void> StopHost(std::string_view aId) override;

  /// Malformed prices and notices are logged and left out.
  [[nodiscard]] Result<std::vector<Price>> Prices() override;
  [[nodiscard]] Result<NoticePage> Notices(Offset aFrom, Milliseconds aWait) override;

  /// Makes calls in progress, and all later ones, fail soon.
  void Interrupt();

private:
  PlatformHttpClient client;
};

} // namespace lagoonward
