#include "StandIns/Engine/EngineCore.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

// The part of EngineCore that speaks to a stream's reader.

namespace lagoonward::standins {

namespace {

using nlohmann::json;

/// Attempt that crossed events name.
constexpr std::string_view kStrangeAttempt = "attempt-of-somebody-else";

std::string
ToEvent(const json& aData)
{
  return "data: " + aData.dump() + "\n\n";
}

/// A token event. Token texts need no escaping.
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
AttemptFor(const EngineStream& aStream, std::string_view aMode)
{
  return IsCrossed(aStream, aMode) ? kStrangeAttempt : std::string_view(aStream.request.attemptId);
}

} // namespace

void
EngineCore::SendFirst(EngineStream& aStream)
{
  aStream.reader->BeginStream();
  aStream.reader->Write(ToEvent({ { "attempt_id", AttemptFor(aStream, "first") },
                                  { "stream_id", aStream.id },
                                  { "model", aStream.request.question.model },
                                  { "version", aStream.request.askedVersion } }));
}

void
EngineCore::SendTokens(EngineStream& aStream)
{
  if (!aStream.reader) {
    return;
  }
  std::string events;
  while (aStream.sent < static_cast<std::int64_t>(aStream.tokens.size())) {
    const auto index = aStream.sent;
    // Faults: the stream breaks off, leaves one out, or carries what belongs to another
    if (aStream.cut && index >= aStream.cut->after) {
      aStream.reader->Write(events);
      aStream.reader->Abort();
      aStream.cut.reset();
      return;
    }
    if (aStream.skipped && index >= aStream.skipped->after) {
      aStream.skipped.reset();
      ++aStream.sent;
      continue;
    }
    if (IsCrossed(aStream, "middle") && index >= aStream.crossed->after) {
      events +=
        ToEvent({ { "attempt_id", kStrangeAttempt }, { "index", index }, { "text", " stranger" } });
      aStream.crossed.reset();
    }
    AppendTokenEvent(events, index, aStream.tokens[static_cast<std::size_t>(index)]);
    ++aStream.sent;
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
    reason = aStream.length < aStream.request.maxTokens ? "stop" : "length";
  }
  aStream.reader->Write(ToEvent({ { "attempt_id", AttemptFor(aStream, "last") },
                                  { "model", aStream.request.question.model },
                                  { "version", aStream.request.askedVersion },
                                  { "finish_reason", reason },
                                  { "token_count", aStream.tokens.size() } }));
  aStream.reader->End();
}

} // namespace lagoonward::standins
