#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Core/Result.h"

#include <string_view>

namespace lagoonward {

/// Finds the client account that a key belongs to. Keys are known by their SHA-256 only, compared in
/// constant time against every account, and never logged.
class ClientAuthenticator
{
public:
  /// @param aAuthorization  the `Authorization` header's value, `Bearer KEY`
  /// Errors: Unauthorized.
  [[nodiscard]] static Result<const ManifestClient*> Find(const Manifest& aManifest,
                                                          std::string_view aAuthorization);
};

} // namespace lagoonward
