#pragma once

#include "Lagoonward/Daemon/OrderSender.h"
#include "Lagoonward/Providers/PlatformHttpClient.h"

#include <atomic>

namespace lagoonward {

/// Orders over HTTP: `POST /v1/orders`, see docs/INTERFACES.md. Makes a connection per order, as there
/// are few and to many engines. Safe from any thread.
class HttpOrderSender final : public OrderSender
{
public:
  /// @param aSettings  `callTimeout` must stay below the lease's `handover`
  explicit HttpOrderSender(const PlatformSettings& aSettings);

  [[nodiscard]] Result<void> Send(const Endpoint& aEndpoint, const PlacementOrder& aOrder,
                                  Offset aFencing) override;

  /// Makes all later orders fail at once; one in progress takes up to the timeout.
  void Interrupt();

private:
  PlatformSettings settings;
  std::atomic<bool> interrupted{ false };
};

/// The body of an order.
[[nodiscard]] std::string
WriteOrder(const PlacementOrder& aOrder, Offset aFencing);

} // namespace lagoonward
