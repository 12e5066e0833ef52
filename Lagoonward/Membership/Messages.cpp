#include "Lagoonward/Membership/Messages.h"

namespace lagoonward {

std::uint32_t
EndpointProfile::Hash() const
{
  const auto hash = static_cast<std::uint32_t>(HashBytes(EncodeMessage(*this)));
  return hash == 0 ? 1 : hash;
}

} // namespace lagoonward
