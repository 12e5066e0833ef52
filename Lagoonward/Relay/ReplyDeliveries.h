#pragma once

#include "Lagoonward/Relay/RelayRun.h"
#include "Lagoonward/Wire/ResponseMemory.h"

#include <memory>
#include <vector>

namespace lagoonward {

/// Accounts for the memory of responses that are complete, or were aborted, while their callers still read them. One that
/// is evicted from memory is truncated and its connection closed. Used on one TrafficLoop.
class ReplyDeliveries
{
public:
  /// @param aMemory  must outlive it
  explicit ReplyDeliveries(ResponseMemory& aMemory);

  /// Adds the caller of a request whose run has ended.
  void Add(std::unique_ptr<RelayCaller> aCaller);

  /// Removes what has been delivered. Must be called every RelaySettings::callerCheckInterval.
  void Update();

  void Clear() { this->deliveries.clear(); }

private:
  struct Delivery
  {
    Delivery(ResponseMemory& aMemory, std::unique_ptr<RelayCaller> aCaller);

    std::unique_ptr<RelayCaller> caller;
    ResponseMemory::Account memory;
  };

  ResponseMemory& memory;
  std::vector<std::unique_ptr<Delivery>> deliveries;
};

} // namespace lagoonward
