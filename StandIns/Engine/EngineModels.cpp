#include "StandIns/Engine/EngineModels.h"

#include <algorithm>
#include <stdexcept>

namespace lagoonward::standins {

namespace {

/// Splits `NAME@VERSION`; the version is empty if there is no `@`.
EngineAdapter
SplitVersion(const std::string& aText)
{
  const auto at = aText.find('@');
  return at == std::string::npos ? EngineAdapter{ aText, {} }
                                 : EngineAdapter{ aText.substr(0, at), aText.substr(at + 1) };
}

bool
Matches(const EngineAdapter& aLoaded, const EngineAdapter& aRequested)
{
  return aLoaded.name == aRequested.name &&
         (aRequested.version.empty() || aLoaded.version == aRequested.version);
}

bool
IsSame(const EngineModel& aFirst, const EngineModel& aSecond)
{
  return aFirst.name == aSecond.name && aFirst.version == aSecond.version;
}

} // namespace

EngineModel
EngineModel::Parse(const std::string& aText)
{
  EngineModel model;
  std::size_t begin = 0;
  while (begin <= aText.size()) {
    const auto end = std::min(aText.find('+', begin), aText.size());
    const auto part = SplitVersion(aText.substr(begin, end - begin));
    if (part.name.empty() || part.version.empty()) {
      throw std::invalid_argument("expected NAME@VERSION[+ADAPTER@VERSION]..., got " + aText);
    }
    if (begin == 0) {
      model.name = part.name;
      model.version = part.version;
    } else {
      model.adapters.push_back(part);
    }
    begin = end + 1;
  }
  return model;
}

EngineModels::EngineModels(std::vector<EngineModel> aModels)
  : models(std::move(aModels))
{
}

std::optional<Question>
EngineModels::Resolve(const std::string& aModel, const std::string& aVersion,
                      const std::string& aAdapter) const
{
  const std::lock_guard lock(this->mutex);
  auto requested = SplitVersion(aAdapter);
  for (const auto& model : this->models) {
    if (model.name != aModel) {
      continue;
    }
    const bool versionMatches = aVersion.empty() || aVersion == model.version;
    if (aAdapter.empty()) {
      if (versionMatches) {
        return Question{ model.name, model.version, {}, 0, {} };
      }
      continue;
    }
    // If an adapter is given, the version may be the model's or the adapter's
    const auto wantedAdapter = versionMatches || !requested.version.empty()
                                 ? requested
                                 : EngineAdapter{ requested.name, aVersion };
    if (!versionMatches && !requested.version.empty()) {
      continue;
    }
    for (const auto& adapter : model.adapters) {
      if (Matches(adapter, wantedAdapter)) {
        return Question{ model.name, model.version, adapter.name + "@" + adapter.version, 0, {} };
      }
    }
  }
  return std::nullopt;
}

void
EngineModels::Add(const EngineModel& aModel)
{
  const std::lock_guard lock(this->mutex);
  const auto found =
    std::find_if(this->models.begin(), this->models.end(),
                 [&](const EngineModel& aLoaded) { return IsSame(aLoaded, aModel); });
  if (found == this->models.end()) {
    this->models.push_back(aModel);
    return;
  }
  for (const auto& adapter : aModel.adapters) {
    const bool loaded =
      std::any_of(found->adapters.begin(), found->adapters.end(),
                  [&](const EngineAdapter& aLoaded) { return Matches(aLoaded, adapter); });
    if (!loaded) {
      found->adapters.push_back(adapter);
    }
  }
}

void
EngineModels::Remove(const EngineModel& aModel)
{
  const std::lock_guard lock(this->mutex);
  if (aModel.adapters.empty()) {
    this->models.erase(
      std::remove_if(this->models.begin(), this->models.end(),
                     [&](const EngineModel& aLoaded) { return IsSame(aLoaded, aModel); }),
      this->models.end());
    return;
  }
  for (auto& model : this->models) {
    if (!IsSame(model, aModel)) {
      continue;
    }
    for (const auto& adapter : aModel.adapters) {
      model.adapters.erase(
        std::remove_if(model.adapters.begin(), model.adapters.end(),
                       [&](const EngineAdapter& aLoaded) { return Matches(aLoaded, adapter); }),
        model.adapters.end());
    }
  }
}

std::vector<EngineModel>
EngineModels::List() const
{
  const std::lock_guard lock(this->mutex);
  return this->models;
}

} // namespace lagoonward::standins
