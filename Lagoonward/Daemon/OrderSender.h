#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Fleet/Endpoint.h"
#include "Lagoonward/Placement/PlacementOrder.h"

namespace lagoonward {

/// Carries orders to engines. Blocking; never called from the control thread or a traffic thread.
class OrderSender
{
public:
  virtual ~OrderSender() = default;

  /// Sends one load or unload. The same order may be sent again.
  /// @return StaleFencing when the engine knows a newer number, EndpointRejected when it refused,
  ///         PlatformUnavailable when nobody knows whether it arrived
  [[nodiscard]] virtual Result<void> Send(const Endpoint& aEndpoint, const PlacementOrder& aOrder,
                                          Offset aFencing) = 0;
};

} // namespace lagoonward
