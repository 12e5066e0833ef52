#pragma once

#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

namespace lagoonward::bench {

/// In-memory log with a single stream. Each call advances the virtual clock by a fixed latency.
class VirtualLog final : public LogService
{
public:
  /// @param aLatency  virtual time that each call takes
  VirtualLog(VirtualClock& aClock, Milliseconds aLatency);

  [[nodiscard]] Result<LogPosition> Append(std::string_view aStream,
                                           std::string_view aRecord) override;
  [[nodiscard]] Result<LogPage> Read(std::string_view aStream, Offset aFrom, int aLimit,
                                     Milliseconds aWait) override;

  [[nodiscard]] const std::vector<std::string>& Records() const { return this->records; }

private:
  VirtualClock& clock;
  Milliseconds latency;
  std::vector<std::string> records;
};

} // namespace lagoonward::bench
