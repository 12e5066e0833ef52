#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace lagoonward {

/// The prompt as an engine's prefix cache sees it. One whitespace-separated word counts as one token;
/// kBlockTokens of them make a block. A block's hash covers all blocks before it and the model, version
/// and adapter, in the way that engines report in their cache events (docs/INTERFACES.md).
struct PromptBlocks
{
  /// Tokens of one cache block.
  static constexpr int kBlockTokens = 16;

  int tokens = 0;                    ///< Estimate for the whole prompt.
  std::vector<std::uint64_t> hashes; ///< Of the whole blocks, from the front.

  /// @param aAdapter  `NAME@VERSION`, or empty for none
  [[nodiscard]] static PromptBlocks Split(std::string_view aModel, std::string_view aVersion,
                                          std::string_view aAdapter, std::string_view aPrompt);
};

} // namespace lagoonward
