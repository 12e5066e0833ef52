#pragma once

#include "Lagoonward/Relay/RelayCall.h"

#include <cstdint>
#include <span>
#include <vector>

namespace lagoonward {

/// Hashes of the blocks of a prompt that is known by its parts, each covering all before it. Parts that
/// end within a block count as if they filled it.
[[nodiscard]] std::vector<std::uint64_t>
PromptBlocks(std::span<const PromptPart> aParts, int aBlockTokens);

} // namespace lagoonward
