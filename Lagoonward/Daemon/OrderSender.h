#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Fleet/Endpoint.h"
#include "Lagoonward/Placement/PlacementOrder.h"

namespace lagoonward {

/// Sends orders to engines. Calls block; never called from the control thread or a traffic thread.
class OrderSender
{
public:
  virtual ~OrderSender() = default;

  /// Sends one load or unload. Idempotent: the same order may be sent again.
  /// @return StaleFencing when the engine has seen a newer fencing number, EndpointRejected when it refused the order,
  ///         PlatformUnavailable when it is unknown whether the order arrived
  [[nodiscard]] virtual Result<void> Send(const Endpoint& aEndpoint, const PlacementOrder& aOrder,
                                          Offset aFencing) = 0;
};

} // namespace lagoonward
