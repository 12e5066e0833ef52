#pragma once

#include "Lagoonward/Membership/KeyRing.h"

#include <string>

namespace lagoonward {

/// Parses the keys that daemons sign their messages with. Without any, a key is derived from the cluster's name and a
/// warning is logged: that key separates clusters, but does not keep out a process that knows the name. libsodium must
/// have been initialized.
/// @param aText  as for KeyRing::Parse(); empty for none
[[nodiscard]] Result<KeyRing>
ParsePeerKeys(const std::string& aText, const std::string& aCluster);

} // namespace lagoonward
