#pragma once

#include "Lagoonward/Wire/EventStreamReader.h"
#include "StandIns/Engine/EngineStandIn.h"
#include "StandIns/Http/HttpClient.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace lagoonward::standins::test {

/// Time for one answer; tests fail long before by what they compare.
inline constexpr std::chrono::seconds kPatience{ 20 };

/// An engine that answers fast, alone in the process.
inline EngineSettings
QuickEngine()
{
  EngineSettings settings;
  settings.stepBase = std::chrono::microseconds(200);
  settings.stepPerStream = std::chrono::microseconds(1);
  settings.loadLag = settings.cacheEventDelay = std::chrono::milliseconds(0);
  settings.modelLoadTime = std::chrono::milliseconds(0);
  settings.models = { HeldModel::Parse("drafter@1+county@7") };
  return settings;
}

/// The events of a completion as parsed JSON.
struct Completion
{
  long status = 0;
  std::vector<nlohmann::json> events;

  [[nodiscard]] std::string Text() const
  {
    std::string text;
    for (const auto& event : this->events) {
      text += event.value("text", std::string());
    }
    return text;
  }
};

/// Sends a completion and reads it to its end.
inline Completion
Complete(const ListenAddress& aEngine, const nlohmann::json& aBody)
{
  const auto answer =
    Fetch("POST", "http://" + aEngine.ToString() + "/v1/completions", aBody.dump(), kPatience);
  Completion completion{ answer.status, {} };
  EventStreamReader reader(std::size_t{ 1 } << 20U);
  reader.Consume(answer.body, [&](const StreamEvent& aEvent) {
    completion.events.push_back(nlohmann::json::parse(aEvent.data));
  });
  return completion;
}

/// A completion request as a daemon would send it.
inline nlohmann::json
Ask(const std::string& aPrompt, int aMaxTokens)
{
  return { { "request_id", "r-" + aPrompt },
           { "attempt_id", "a-1" },
           { "model", "drafter" },
           { "version", "1" },
           { "prompt", aPrompt },
           { "max_tokens", aMaxTokens },
           { "seed", 7 } };
}

/// The question that Ask() asks.
inline Question
Asked(const std::string& aPrompt)
{
  return { "drafter", "1", "", 7, aPrompt };
}

} // namespace lagoonward::standins::test
