#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// The clocks of the operating system. Thread-safe.
class SystemClock final : public Clock
{
public:
  [[nodiscard]] TimePoint Now() const override;
  [[nodiscard]] WallTime WallNow() const override;
  [[nodiscard]] TimePoint BootNow() const override;
};

} // namespace lagoonward
