#pragma once

#include "Lagoonward/Providers/PlatformHttpClient.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

namespace lagoonward {

/// Implements LogService over HTTP: `POST /streams/{name}` and `GET /streams/{name}?from&limit&wait_ms`. Thread-safe.
class HttpLogService final : public LogService
{
public:
  HttpLogService(std::string aBaseUrl, PlatformSettings aSettings);

  [[nodiscard]] Result<LogPosition> Append(std::string_view aStream,
                                           std::string_view aRecord) override;
  [[nodiscard]] Result<LogPage> Read(std::string_view aStream, Offset aFrom, int aLimit,
                                     Milliseconds aWait) override;
  void Interrupt() override;

private:
  PlatformHttpClient client;
};

} // namespace lagoonward
