#pragma once

#include "Lagoonward/Configuration/JsonReader.h"
#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Providers/PlatformHttpClient.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

namespace lagoonward {

/// Largest offset, time or span that the platform may name.
inline constexpr IntegerRange kPlatformIntegers{ 0, 9'007'199'254'740'991 };

/// Decodes a successful answer with aRead(JsonReader&). Members beyond those read are allowed, as
/// the platform may add some; a missing or mistyped one makes the whole answer PlatformUnavailable:
/// what the call did is then not known.
template<typename Read>
auto
DecodeAnswer(const PlatformAnswer& aAnswer, Read aRead)
  -> Result<decltype(aRead(std::declval<JsonReader&>()))>
{
  constexpr int kFirstFailure = 300;
  if (aAnswer.status >= kFirstFailure) {
    return Error(ErrorKind::InvalidRequest,
                 "the platform refused the call with status " + std::to_string(aAnswer.status));
  }
  JsonFaults faults;
  const auto value = ParseStrictJson(aAnswer.body, faults);
  if (value) {
    JsonReader reader(*value, "", faults);
    auto result = aRead(reader);
    if (faults.empty()) {
      return result;
    }
  }
  return Error(ErrorKind::PlatformUnavailable,
               "the platform's answer is malformed: " + DescribeFaults(faults));
}

/// Decodes the objects of an array one by one with aRead(JsonReader&). A faulty one is logged and
/// left out, so that it hides none of the others.
template<typename Read>
auto
DecodeEntries(const nlohmann::json& aArray, std::string_view aWhat, const Log& aLog, Read aRead)
{
  std::vector<decltype(aRead(std::declval<JsonReader&>()))> entries;
  for (const auto& item : aArray) {
    JsonFaults faults;
    JsonReader reader(item, "", faults);
    auto entry = aRead(reader);
    if (faults.empty()) {
      entries.push_back(std::move(entry));
    } else {
      aLog.Warning("left out a malformed {}: {}.", aWhat, DescribeFaults(faults));
    }
  }
  return entries;
}

/// Decodes a body that is an array of objects, entry by entry as DecodeEntries().
template<typename Read>
auto
DecodeList(const PlatformAnswer& aAnswer, std::string_view aWhat, const Log& aLog, Read aRead)
  -> Result<std::vector<decltype(aRead(std::declval<JsonReader&>()))>>
{
  JsonFaults faults;
  const auto value = ParseStrictJson(aAnswer.body, faults);
  if (aAnswer.status >= 300 || !value || !value->is_array()) {
    return Error(ErrorKind::PlatformUnavailable,
                 "the platform's answer is not a list; status " + std::to_string(aAnswer.status));
  }
  return DecodeEntries(*value, aWhat, aLog, aRead);
}

} // namespace lagoonward
