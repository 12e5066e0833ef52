#pragma once

#include "Lagoonward/Configuration/Manifest.h"
#include "Lagoonward/Core/Result.h"

#include <string_view>

namespace lagoonward {

/// Finds the client account of a key. The manifest has only the SHA-256 of each key. The hash is compared in constant
/// time against every account; keys are never logged.
class ClientAuthenticator
{
public:
  /// @param aAuthorization  the `Authorization` header's value, `Bearer KEY`
  /// Errors: Unauthorized.
  [[nodiscard]] static Result<const ManifestClient*> Find(const Manifest& aManifest,
                                                          std::string_view aAuthorization);
};

} // namespace lagoonward
