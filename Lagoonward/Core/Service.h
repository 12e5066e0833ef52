#pragma once

#include "Lagoonward/Core/Result.h"

#include <string_view>

namespace lagoonward {

/// A part of the daemon that the Kernel owns: started in the order of registration,
/// drained and stopped in the reverse order.
class Service
{
public:
  virtual ~Service() = default;

  /// Name under which other services find this one. Unique within a kernel.
  [[nodiscard]] virtual std::string_view Name() const = 0;

  /// Begins work. Services registered earlier are already running.
  [[nodiscard]] virtual Result<void> Start() = 0;

  /// Finishes work in progress and takes no new work. Returns when nothing is left to finish.
  virtual void Drain() {}

  /// Releases threads and sockets. Called once after a successful Start().
  virtual void Stop() = 0;
};

} // namespace lagoonward
