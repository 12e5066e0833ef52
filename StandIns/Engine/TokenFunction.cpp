#include "StandIns/Engine/TokenFunction.h"

#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace lagoonward::standins {

namespace {

/// One answer in this many ends before its limit.
constexpr std::uint64_t kEarlyStopPeriod = 4;

/// Mask of the low bits of the hash that give a token's digits.
constexpr std::uint64_t kTokenMask = 0xffffff;

} // namespace

std::uint64_t
AnswerKey(const Question& aQuestion)
{
  const auto model = CombineHashes(HashBytes(aQuestion.model), HashBytes(aQuestion.version));
  const auto variant = CombineHashes(model, HashBytes(aQuestion.adapter));
  return CombineHashes(CombineHashes(variant, aQuestion.seed), HashBytes(aQuestion.prompt));
}

std::string
TokenText(std::uint64_t aAnswerKey, std::int64_t aIndex)
{
  const auto hash = CombineHashes(aAnswerKey, static_cast<std::uint64_t>(aIndex));
  return fmt::format(" {:06x}", hash & kTokenMask);
}

std::int64_t
AnswerLength(std::uint64_t aAnswerKey, std::int64_t aMaxTokens)
{
  if (aMaxTokens <= 1 || aAnswerKey % kEarlyStopPeriod != 0) {
    return aMaxTokens;
  }
  const auto half = aMaxTokens / 2;
  const auto spread = static_cast<std::uint64_t>(aMaxTokens - half);
  return std::max<std::int64_t>(
    1, half + static_cast<std::int64_t>(aAnswerKey / kEarlyStopPeriod % spread));
}

std::string
AnswerText(const Question& aQuestion, std::int64_t aMaxTokens)
{
  const auto key = AnswerKey(aQuestion);
  const auto length = AnswerLength(key, aMaxTokens);
  std::string text;
  for (std::int64_t index = 0; index < length; ++index) {
    text += TokenText(key, index);
  }
  return text;
}

std::vector<std::string_view>
SplitWords(std::string_view aText)
{
  constexpr std::string_view kSpace = " \t\r\n";
  std::vector<std::string_view> words;
  auto begin = aText.find_first_not_of(kSpace);
  while (begin != std::string_view::npos) {
    const auto end = std::min(aText.find_first_of(kSpace, begin), aText.size());
    words.push_back(aText.substr(begin, end - begin));
    begin = aText.find_first_not_of(kSpace, end);
  }
  return words;
}

std::uint64_t
InitialChainHash(const Question& aQuestion)
{
  const auto model = CombineHashes(HashBytes(aQuestion.model), HashBytes(aQuestion.version));
  return CombineHashes(model, HashBytes(aQuestion.adapter));
}

std::uint64_t
NextChainHash(std::uint64_t aPrevious, const std::vector<std::string>& aWords)
{
  return CombineHashes(aPrevious, HashBytes(fmt::format("{}", fmt::join(aWords, " "))));
}

std::string
ServiceResult(std::string_view aName, std::string_view aPath, std::string_view aBody)
{
  const auto place = CombineHashes(HashBytes(aName), HashBytes(aPath));
  return fmt::format("{:016x}", CombineHashes(place, HashBytes(aBody)));
}

std::string
ExecutionKey(std::string_view aBody)
{
  return fmt::format("body:{:016x}", HashBytes(aBody));
}

} // namespace lagoonward::standins
