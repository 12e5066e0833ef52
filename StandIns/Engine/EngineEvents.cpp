#include "StandIns/Engine/EngineCore.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

// The part of EngineCore that sends events to a stream's reader.

namespace lagoonward::standins {

namespace {

using nlohmann::json;

/// Attempt id in the events that the `crossed` fault produces.
constexpr std::string_view kForeignAttemptId = "attempt-of-somebody-else";

std::string
ToEvent(const json& aData)
{
  return "data: " + aData.dump() + "\n\n";
}

/// Appends a token event. Token texts need no JSON escaping.
void
AppendTokenEvent(std::string& aOut, std::int64_t aIndex, std::string_view aText)
{
  fmt::format_to(std::back_inserter(aOut), "data: {{\"index\":{},\"text\":\"{}\"}}\n\n", aIndex,
                 aText);
}

bool
IsCrossed(const EngineStream& aStream, std::string_view aMode)
{
  return aStream.crossed && aStream.crossed->mode == aMode;
}

std::string_view
AttemptIdFor(const EngineStream& aStream, std::string_view aMode)
{
  return IsCrossed(aStream, aMode) ? kForeignAttemptId
                                   : std::string_view(aStream.request.attemptId);
}

} // namespace

void
EngineCore::SendFirst(EngineStream& aStream)
{
  aStream.reader->BeginStream();
  aStream.reader->Write(ToEvent({ { "attempt_id", AttemptIdFor(aStream, "first") },
                                  { "stream_id", aStream.id },
                                  { "model", aStream.request.question.model },
                                  { "version", aStream.request.reportedVersion } }));
}

void
EngineCore::SendTokens(EngineStream& aStream)
{
  if (!aStream.reader) {
    return;
  }
  std::string events;
  while (aStream.nextToSend < static_cast<std::int64_t>(aStream.tokens.size())) {
    const auto index = aStream.nextToSend;
    // Injected faults: abort the stream, skip a token, or insert an event of another attempt
    if (aStream.cut && index >= aStream.cut->after) {
      aStream.reader->Write(events);
      aStream.reader->Abort();
      aStream.cut.reset();
      return;
    }
    if (aStream.skipped && index >= aStream.skipped->after) {
      aStream.skipped.reset();
      ++aStream.nextToSend;
      continue;
    }
    if (IsCrossed(aStream, "middle") && index >= aStream.crossed->after) {
      events += ToEvent(
        { { "attempt_id", kForeignAttemptId }, { "index", index }, { "text", " stranger" } });
      aStream.crossed.reset();
    }
    AppendTokenEvent(events, index, aStream.tokens[static_cast<std::size_t>(index)]);
    ++aStream.nextToSend;
  }
  aStream.reader->Write(events);
}

void
EngineCore::SendLast(EngineStream& aStream)
{
  if (!aStream.reader) {
    return;
  }
  std::string_view reason = "cancelled";
  if (aStream.state == EngineStream::State::Finished) {
    reason = aStream.answerLength < aStream.request.maxTokens ? "stop" : "length";
  }
  aStream.reader->Write(ToEvent({ { "attempt_id", AttemptIdFor(aStream, "last") },
                                  { "model", aStream.request.question.model },
                                  { "version", aStream.request.reportedVersion },
                                  { "finish_reason", reason },
                                  { "token_count", aStream.tokens.size() } }));
  aStream.reader->End();
}

} // namespace lagoonward::standins
