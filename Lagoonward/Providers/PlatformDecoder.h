#pragma once

#include "Lagoonward/Configuration/JsonReader.h"
#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Providers/PlatformHttpClient.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

namespace lagoonward {

/// Range of the offsets, times and durations that the platform may send; the maximum is 2^53 - 1.
inline constexpr IntegerRange kPlatformIntegers{ 0, 9'007'199'254'740'991 };

/// Decodes a successful response with aRead(JsonReader&). Additional members are allowed, because the platform may add
/// some. A missing member or one of the wrong type gives PlatformUnavailable for the complete response, because the
/// effect of the call is then unknown.
template<typename Read>
auto
DecodeResponse(const PlatformResponse& aAnswer, Read aRead)
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
    if (faults.IsEmpty()) {
      return result;
    }
  }
  return Error(ErrorKind::PlatformUnavailable,
               "the platform's response is malformed: " + DescribeFaults(faults));
}

/// Decodes each object of an array with aRead(JsonReader&). A malformed object is logged and skipped, so that the
/// others remain usable.
template<typename Read>
auto
DecodeEntries(const nlohmann::json& aArray, std::string_view aWhat, const Log& aLog, Read aRead)
{
  std::vector<decltype(aRead(std::declval<JsonReader&>()))> entries;
  for (const auto& item : aArray) {
    JsonFaults faults;
    JsonReader reader(item, "", faults);
    auto entry = aRead(reader);
    if (faults.IsEmpty()) {
      entries.push_back(std::move(entry));
    } else {
      aLog.Warning("skipped a malformed {}: {}.", aWhat, DescribeFaults(faults));
    }
  }
  return entries;
}

/// Decodes a body that is an array of objects with DecodeEntries().
template<typename Read>
auto
DecodeList(const PlatformResponse& aAnswer, std::string_view aWhat, const Log& aLog, Read aRead)
  -> Result<std::vector<decltype(aRead(std::declval<JsonReader&>()))>>
{
  JsonFaults faults;
  const auto value = ParseStrictJson(aAnswer.body, faults);
  if (aAnswer.status >= 300 || !value || !value->is_array()) {
    return Error(ErrorKind::PlatformUnavailable,
                 "the platform's response is not a list; status " + std::to_string(aAnswer.status));
  }
  return DecodeEntries(*value, aWhat, aLog, aRead);
}

} // namespace lagoonward
