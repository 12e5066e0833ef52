#pragma once

#include "Lagoonward/Membership/KeyRing.h"

#include <string>

namespace lagoonward {

/// The keys that daemons sign their messages with. Without any, a key made from the cluster's name keeps
/// clusters apart, but not strangers out; a warning is logged. libsodium must have been initialized.
/// @param aText  as for KeyRing::Parse(); empty for none
[[nodiscard]] Result<KeyRing>
ParsePeerKeys(const std::string& aText, const std::string& aCluster);

} // namespace lagoonward
