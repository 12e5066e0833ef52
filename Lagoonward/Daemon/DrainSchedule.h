#pragma once

#include "Lagoonward/Core/Clock.h"

namespace lagoonward {

/// Steps of a drain, as times since the termination signal. All of them are within the grace period, however short it
/// is.
struct DrainSchedule
{
  Milliseconds rejectAfter{ 0 };        ///< New requests are rejected.
  Milliseconds stopListeningAfter{ 0 }; ///< New connections are refused.
  Milliseconds abandonAfter{ 0 }; ///< Requests that are still in progress are answered at once.
};

/// @param aGrace  from the termination signal to the forced exit
[[nodiscard]] DrainSchedule
MakeDrainSchedule(Milliseconds aGrace);

} // namespace lagoonward
