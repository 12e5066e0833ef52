#include "Lagoonward/Relay/PromptBlocks.h"

#include "Lagoonward/Core/Hash.h"

namespace lagoonward {

std::vector<std::uint64_t>
PromptBlocks(std::span<const PromptPart> aParts, int aBlockTokens)
{
  std::vector<std::uint64_t> blocks;
  std::uint64_t hash = 0;
  for (const PromptPart& part : aParts) {
    for (int tokens = 0; tokens < part.tokens; tokens += aBlockTokens) {
      hash = CombineHashes(hash, CombineHashes(part.id, static_cast<std::uint64_t>(tokens)));
      blocks.push_back(hash);
    }
  }
  return blocks;
}

} // namespace lagoonward
