#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward::standins {

/// All inputs that determine an engine's answer. Equal questions give equal answers, so that a test can
/// compute the expected answer.
struct Question
{
  std::string model;
  std::string version; ///< The model's version.
  std::string adapter; ///< `NAME@VERSION` of the adapter; empty without one.
  std::uint64_t seed = 0;
  std::string prompt;
};

/// Number of tokens in a cache block.
inline constexpr std::size_t kBlockTokens = 16;

/// Hash of the question, from which all tokens of the answer are derived.
[[nodiscard]] std::uint64_t
AnswerKey(const Question& aQuestion);

/// Text of the token at aIndex: a space and six hexadecimal digits.
[[nodiscard]] std::string
TokenText(std::uint64_t aAnswerKey, std::int64_t aIndex);

/// Number of tokens of the answer. One answer in four ends ("stop") after between half of aMaxTokens and
/// aMaxTokens; the others are truncated at aMaxTokens ("length").
[[nodiscard]] std::int64_t
AnswerLength(std::uint64_t aAnswerKey, std::int64_t aMaxTokens);

/// The complete text that a caller must receive.
[[nodiscard]] std::string
AnswerText(const Question& aQuestion, std::int64_t aMaxTokens);

/// Splits a text at white space. One word is one prompt token.
[[nodiscard]] std::vector<std::string_view>
SplitWords(std::string_view aText);

/// Initial hash of a block chain. It depends on model, version and adapter, so that their caches share no
/// blocks.
[[nodiscard]] std::uint64_t
InitialChainHash(const Question& aQuestion);

/// Hash of the next block: covers the preceding chain and the words of one complete block.
[[nodiscard]] std::uint64_t
NextChainHash(std::uint64_t aPrevious, const std::vector<std::string>& aWords);

/// Result of a plain service for a body and a path; see ServiceStandIn.
[[nodiscard]] std::string
ServiceResult(std::string_view aName, std::string_view aPath, std::string_view aBody);

/// Key under which a plain service counts the executions of a body.
[[nodiscard]] std::string
ExecutionKey(std::string_view aBody);

} // namespace lagoonward::standins
