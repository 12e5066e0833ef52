#pragma once

#include "Lagoonward/Relay/RelayCall.h"

#include <cstdint>
#include <span>
#include <vector>

namespace lagoonward {

/// Hashes of the blocks of a prompt that is described by its parts. Each hash also covers all preceding blocks.
/// A part that ends within a block counts as if it filled that block.
[[nodiscard]] std::vector<std::uint64_t>
PromptBlocks(std::span<const PromptPart> aParts, int aBlockTokens);

} // namespace lagoonward
