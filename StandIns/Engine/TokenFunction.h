#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward::standins {

/// Everything that an engine's answer depends on. Two runs with equal questions give equal answers,
/// so a test can work out what an answer must be.
struct Question
{
  std::string model;
  std::string version; ///< The model's version.
  std::string adapter; ///< `NAME@VERSION` of the adapter; empty without one.
  std::uint64_t seed = 0;
  std::string prompt;
};

/// Tokens that one cache block stands for.
inline constexpr std::size_t kBlockTokens = 16;

/// The number from which all tokens of an answer follow.
[[nodiscard]] std::uint64_t
AnswerKey(const Question& aQuestion);

/// Text of the token at aIndex: a space and six hexadecimal digits.
[[nodiscard]] std::string
TokenText(std::uint64_t aAnswerKey, std::int64_t aIndex);

/// How many tokens the answer has. One answer in four ends by itself ("stop") between half of
/// aMaxTokens and all of them; the others are cut at aMaxTokens ("length").
[[nodiscard]] std::int64_t
AnswerLength(std::uint64_t aAnswerKey, std::int64_t aMaxTokens);

/// The whole text that a caller must get.
[[nodiscard]] std::string
AnswerText(const Question& aQuestion, std::int64_t aMaxTokens);

/// The words of a text, split at white space. One word is one prompt token.
[[nodiscard]] std::vector<std::string_view>
SplitWords(std::string_view aText);

/// First link of a block chain: the caches of different models and adapters share nothing.
[[nodiscard]] std::uint64_t
ChainStart(const Question& aQuestion);

/// Next link: covers everything before it and the words of one whole block.
[[nodiscard]] std::uint64_t
ChainNext(std::uint64_t aPrevious, const std::vector<std::string>& aWords);

/// What a plain service answers to a body on a path; see ServiceStandIn.
[[nodiscard]] std::string
ServiceResult(std::string_view aName, std::string_view aPath, std::string_view aBody);

/// Under which a plain service counts how often it executed a body.
[[nodiscard]] std::string
ExecutionKey(std::string_view aBody);

} // namespace lagoonward::standins
