#include "Lagoonward/Routing/PromptBlocks.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>
#include <string>

namespace lagoonward {

namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

} // namespace

PromptBlocks
PromptBlocks::Split(std::string_view aModel, std::string_view aVersion, std::string_view aAdapter,
                    std::string_view aPrompt)
{
  PromptBlocks blocks;
  std::uint64_t chain =
    CombineHashes(CombineHashes(HashBytes(aModel), HashBytes(aVersion)), HashBytes(aAdapter));
  std::string block;
  std::size_t begin = aPrompt.find_first_not_of(kWhitespace);
  while (begin != std::string_view::npos) {
    const std::size_t end = std::min(aPrompt.find_first_of(kWhitespace, begin), aPrompt.size());
    if (!block.empty()) {
      block.push_back(' ');
    }
    block.append(aPrompt.substr(begin, end - begin));
    ++blocks.tokens;
    if (blocks.tokens % kBlockTokens == 0) {
      chain = CombineHashes(chain, HashBytes(block));
      blocks.hashes.push_back(chain);
      block.clear();
    }
    begin = aPrompt.find_first_not_of(kWhitespace, end);
  }
  return blocks;
}

} // namespace lagoonward
