#pragma once

#include "Lagoonward/Core/Result.h"

#include <string_view>

namespace lagoonward {

/// A component of the daemon, owned by the Kernel. Services are started in the order of registration, and drained
/// and stopped in the reverse order.
class Service
{
public:
  virtual ~Service() = default;

  /// Name for Kernel::Find(). Unique within a kernel.
  [[nodiscard]] virtual std::string_view Name() const = 0;

  /// Starts the service. Services registered earlier are already running.
  [[nodiscard]] virtual Result<void> Start() = 0;

  /// Accepts no new work and blocks until the work in progress is finished.
  virtual void Drain() {}

  /// Releases threads and sockets. Called once after a successful Start().
  virtual void Stop() = 0;
};

} // namespace lagoonward
