#pragma once

#include "Lagoonward/Wire/EventStreamReader.h"
#include "StandIns/Engine/EngineStandIn.h"
#include "StandIns/Http/HttpClient.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace lagoonward::standins::test {

/// Timeout of one request; generous, so that tests fail by their checks and not by this timeout.
inline constexpr std::chrono::seconds kTimeout{ 20 };

/// Settings of an engine with short steps and without delays.
inline EngineSettings
FastEngineSettings()
{
  EngineSettings settings;
  settings.stepBase = std::chrono::microseconds(200);
  settings.stepPerStream = std::chrono::microseconds(1);
  settings.loadLag = settings.cacheEventDelay = std::chrono::milliseconds(0);
  settings.modelLoadTime = std::chrono::milliseconds(0);
  settings.models = { EngineModel::Parse("drafter@1+county@7") };
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

/// Sends a completion and reads the complete response.
inline Completion
Complete(const ListenAddress& aEngine, const nlohmann::json& aBody)
{
  const auto answer =
    Fetch("POST", "http://" + aEngine.ToString() + "/v1/completions", aBody.dump(), kTimeout);
  Completion completion{ answer.status, {} };
  EventStreamReader reader(std::size_t{ 1 } << 20U);
  reader.Consume(answer.body, [&](const StreamEvent& aEvent) {
    completion.events.push_back(nlohmann::json::parse(aEvent.data));
  });
  return completion;
}

/// Body of a completion request as sent by a daemon.
inline nlohmann::json
CompletionBody(const std::string& aPrompt, int aMaxTokens)
{
  return { { "request_id", "r-" + aPrompt },
           { "attempt_id", "a-1" },
           { "model", "drafter" },
           { "version", "1" },
           { "prompt", aPrompt },
           { "max_tokens", aMaxTokens },
           { "seed", 7 } };
}

/// The question of the request from CompletionBody().
inline Question
QuestionFor(const std::string& aPrompt)
{
  return { "drafter", "1", "", 7, aPrompt };
}

} // namespace lagoonward::standins::test
