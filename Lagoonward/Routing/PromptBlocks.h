#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace lagoonward {

/// A prompt split into the blocks of an engine's prefix cache. One whitespace-separated word counts as one token;
/// kBlockTokens tokens make a block. A block's hash covers all blocks before it and the model, version and adapter,
/// like the hashes in the engines' cache events (docs/INTERFACES.md).
struct PromptBlocks
{
  /// Tokens per cache block.
  static constexpr int kBlockTokens = 16;

  int tokens = 0;                    ///< Estimated tokens of the whole prompt.
  std::vector<std::uint64_t> hashes; ///< Of the complete blocks, in prompt order.

  /// @param aAdapter  `NAME@VERSION`, or empty for none
  [[nodiscard]] static PromptBlocks Split(std::string_view aModel, std::string_view aVersion,
                                          std::string_view aAdapter, std::string_view aPrompt);
};

} // namespace lagoonward
