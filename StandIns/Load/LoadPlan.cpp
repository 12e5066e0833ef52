#include "StandIns/Load/LoadPlan.h"

#include "StandIns/Engine/TokenFunction.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <stdexcept>

namespace lagoonward::standins {

namespace {

using nlohmann::json;

/// Number of consecutive drafts that share a dossier, and so a prompt prefix.
constexpr int kDraftsPerDossier = 4;

/// Builds the requests of one plan.
class Planner
{
public:
  Planner(const Manifest& aManifest, const LoadSettings& aSettings)
    : manifest(aManifest)
    , settings(aSettings)
    , random(aSettings.seed)
  {
    if (aManifest.models.empty() || aManifest.classes.empty() || aManifest.clients.empty()) {
      throw std::invalid_argument(
        "the manifest must have models, classes and clients to plan a load");
    }
    const auto byPriority = [](const ManifestClass& aFirst, const ManifestClass& aSecond) {
      return aFirst.priority < aSecond.priority;
    };
    const auto ends =
      std::minmax_element(aManifest.classes.begin(), aManifest.classes.end(), byPriority);
    this->lowestClass = &*ends.first;
    this->highestClass = &*ends.second;
  }

  [[nodiscard]] PlannedRequest Draft(int aIndex)
  {
    auto request = this->Begin(RequestKind::Draft, aIndex, *this->lowestClass);
    const auto& model = this->manifest.models.front();
    // Every other draft names an adapter, alternately with and without its version
    std::string name = model.name;
    std::string adapter;
    if (!model.adapters.empty() && aIndex % 2 == 1) {
      const auto& first = model.adapters.front();
      const bool namesVersion = aIndex % 4 == 3;
      const auto& version = namesVersion ? first.versions.back() : first.versions.front();
      name += ":" + first.name + (namesVersion ? "@" + version : "");
      adapter = first.name + "@" + version;
    }
    const auto prompt =
      this->BuildDossier(aIndex / kDraftsPerDossier) + fmt::format(" assess item {}", aIndex);
    request.stream = true;
    request.resumes = aIndex % 2 == 0;
    this->FillCompletion(request, name, { model.name, model.version, adapter, 0, prompt },
                         this->settings.draftTokens);
    return request;
  }

  [[nodiscard]] PlannedRequest Status(int aIndex)
  {
    auto request = this->Begin(RequestKind::Status, aIndex, *this->highestClass);
    const auto& model = this->manifest.models.back();
    const auto prompt = fmt::format("may plant {} release its wastewater now", aIndex);
    request.stream = aIndex % 2 == 0;
    this->FillCompletion(request, model.name, { model.name, model.version, {}, 0, prompt },
                         this->settings.statusTokens);
    return request;
  }

  [[nodiscard]] PlannedRequest Call(RequestKind aKind, int aIndex)
  {
    auto request = this->Begin(aKind, aIndex, *this->highestClass);
    const auto& service = this->ServiceFor(aKind);
    const std::string path = aKind == RequestKind::Submission ? "/submit" : "/lookup";
    request.path = "/v1/services/" + service.name + path;
    request.body = json{ { "id", request.key }, { "value", this->random() % 1000 } }.dump();
    request.expected = ServiceResult(service.name, path, request.body);
    return request;
  }

  [[nodiscard]] bool HasServiceFor(RequestKind aKind) const
  {
    return std::any_of(this->manifest.services.begin(), this->manifest.services.end(),
                       [&](const ManifestService& aService) { return Matches(aService, aKind); });
  }

private:
  [[nodiscard]] static bool Matches(const ManifestService& aService, RequestKind aKind)
  {
    return aService.repeatable == (aKind == RequestKind::Lookup);
  }

  [[nodiscard]] const ManifestService& ServiceFor(RequestKind aKind) const
  {
    return *std::find_if(this->manifest.services.begin(), this->manifest.services.end(),
                         [&](const ManifestService& aService) { return Matches(aService, aKind); });
  }

  [[nodiscard]] PlannedRequest Begin(RequestKind aKind, int aIndex, const ManifestClass& aClass)
  {
    PlannedRequest request;
    request.kind = aKind;
    request.key = fmt::format("load-{}-{}-{}", this->settings.seed, ToString(aKind), aIndex);
    const auto& clients = this->manifest.clients;
    const auto& client = clients[static_cast<std::size_t>(aIndex) % clients.size()];
    request.clientKey = "demo-key-" + client.name;
    request.market = this->manifest.market;
    request.className = aClass.name;
    request.deadline = aClass.deadline;
    // Drafts start in the first third, so that long streams are active during the rest of the run and can be
    // migrated; the other requests are distributed over the whole window
    const auto spread = static_cast<std::uint64_t>(this->settings.startWindow.count());
    const auto window = aKind == RequestKind::Draft ? spread / 3 : spread;
    request.startAfter = Milliseconds(this->random() % std::max<std::uint64_t>(1, window));
    return request;
  }

  void FillCompletion(PlannedRequest& aRequest, const std::string& aModel, Question aQuestion,
                      int aMaxTokens)
  {
    constexpr std::uint64_t kSeedRange = 1U << 30U;
    aQuestion.seed = this->random() % kSeedRange;
    aRequest.path = "/v1/completions";
    aRequest.body = json{
      { "model", aModel },
      { "prompt", aQuestion.prompt },
      { "max_tokens", aMaxTokens },
      { "seed", aQuestion.seed },
      { "stream", aRequest.stream }
    }.dump();
    aRequest.expected = AnswerText(aQuestion, aMaxTokens);
  }

  [[nodiscard]] std::string BuildDossier(int aNumber) const
  {
    std::string text;
    for (int word = 0; word < this->settings.draftWords; ++word) {
      text += fmt::format("{}dossier{}-{}", word == 0 ? "" : " ", aNumber, word);
    }
    return text;
  }

  const Manifest& manifest;
  const LoadSettings& settings;
  std::mt19937_64 random;
  const ManifestClass* lowestClass = nullptr;  ///< Lowest priority.
  const ManifestClass* highestClass = nullptr; ///< Highest priority.
};

} // namespace

std::string
ToString(RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::Draft:
      return "draft";
    case RequestKind::Status:
      return "status";
    case RequestKind::Lookup:
      return "lookup";
    case RequestKind::Submission:
      return "submission";
  }
  return "unknown";
}

std::vector<PlannedRequest>
PlanLoad(const Manifest& aManifest, const LoadSettings& aSettings)
{
  Planner planner(aManifest, aSettings);
  std::vector<PlannedRequest> plan;
  plan.reserve(static_cast<std::size_t>(aSettings.drafts) + aSettings.statusChecks +
               aSettings.lookups + aSettings.submissions);
  for (int index = 0; index < aSettings.drafts; ++index) {
    plan.push_back(planner.Draft(index));
  }
  for (int index = 0; index < aSettings.statusChecks; ++index) {
    plan.push_back(planner.Status(index));
  }
  for (int index = 0; index < aSettings.lookups && planner.HasServiceFor(RequestKind::Lookup);
       ++index) {
    plan.push_back(planner.Call(RequestKind::Lookup, index));
  }
  for (int index = 0;
       index < aSettings.submissions && planner.HasServiceFor(RequestKind::Submission); ++index) {
    plan.push_back(planner.Call(RequestKind::Submission, index));
  }
  std::stable_sort(plan.begin(), plan.end(),
                   [](const PlannedRequest& aFirst, const PlannedRequest& aSecond) {
                     return aFirst.startAfter < aSecond.startAfter;
                   });
  return plan;
}

} // namespace lagoonward::standins
