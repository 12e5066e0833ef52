#pragma once

#include "Lagoonward/Daemon/OrderSender.h"
#include "Lagoonward/Providers/PlatformHttpClient.h"

#include <atomic>

namespace lagoonward {

/// Sends orders over HTTP: `POST /v1/orders`, see docs/INTERFACES.md. Opens a connection per order, since orders are
/// few and go to many engines. Thread-safe.
class HttpOrderSender final : public OrderSender
{
public:
  /// @param aSettings  `callTimeout` must stay below the lease's `handover`
  explicit HttpOrderSender(const PlatformSettings& aSettings);

  [[nodiscard]] Result<void> Send(const Endpoint& aEndpoint, const PlacementOrder& aOrder,
                                  Offset aFencing) override;

  /// All later orders fail at once. An order in progress takes up to the timeout.
  void Interrupt();

private:
  PlatformSettings settings;
  std::atomic<bool> interrupted{ false };
};

/// Serializes an order as the JSON body of the request.
[[nodiscard]] std::string
SerializeOrder(const PlacementOrder& aOrder, Offset aFencing);

} // namespace lagoonward
