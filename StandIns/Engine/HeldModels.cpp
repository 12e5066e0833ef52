#include "StandIns/Engine/HeldModels.h"

#include <algorithm>
#include <stdexcept>

namespace lagoonward::standins {

namespace {

/// Splits `NAME@VERSION`; the version is empty where there is no `@`.
HeldAdapter
SplitVersion(const std::string& aText)
{
  const auto at = aText.find('@');
  return at == std::string::npos ? HeldAdapter{ aText, {} }
                                 : HeldAdapter{ aText.substr(0, at), aText.substr(at + 1) };
}

bool
Matches(const HeldAdapter& aHeld, const HeldAdapter& aAsked)
{
  return aHeld.name == aAsked.name && (aAsked.version.empty() || aHeld.version == aAsked.version);
}

bool
IsSame(const HeldModel& aFirst, const HeldModel& aSecond)
{
  return aFirst.name == aSecond.name && aFirst.version == aSecond.version;
}

} // namespace

HeldModel
HeldModel::Parse(const std::string& aText)
{
  HeldModel model;
  std::size_t begin = 0;
  while (begin <= aText.size()) {
    const auto end = std::min(aText.find('+', begin), aText.size());
    const auto part = SplitVersion(aText.substr(begin, end - begin));
    if (part.name.empty() || part.version.empty()) {
      throw std::invalid_argument("not NAME@VERSION[+ADAPTER@VERSION]...: " + aText);
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

HeldModels::HeldModels(std::vector<HeldModel> aModels)
  : models(std::move(aModels))
{
}

std::optional<Question>
HeldModels::Resolve(const std::string& aModel, const std::string& aVersion,
                    const std::string& aAdapter) const
{
  const std::lock_guard lock(this->mutex);
  auto asked = SplitVersion(aAdapter);
  for (const auto& model : this->models) {
    if (model.name != aModel) {
      continue;
    }
    const bool fits = aVersion.empty() || aVersion == model.version;
    if (aAdapter.empty()) {
      if (fits) {
        return Question{ model.name, model.version, {}, 0, {} };
      }
      continue;
    }
    // With an adapter the version may be the model's or the adapter's
    const auto wanted =
      fits || !asked.version.empty() ? asked : HeldAdapter{ asked.name, aVersion };
    if (!fits && !asked.version.empty()) {
      continue;
    }
    for (const auto& adapter : model.adapters) {
      if (Matches(adapter, wanted)) {
        return Question{ model.name, model.version, adapter.name + "@" + adapter.version, 0, {} };
      }
    }
  }
  return std::nullopt;
}

void
HeldModels::Add(const HeldModel& aModel)
{
  const std::lock_guard lock(this->mutex);
  const auto found = std::find_if(this->models.begin(), this->models.end(),
                                  [&](const HeldModel& aHeld) { return IsSame(aHeld, aModel); });
  if (found == this->models.end()) {
    this->models.push_back(aModel);
    return;
  }
  for (const auto& adapter : aModel.adapters) {
    const bool held =
      std::any_of(found->adapters.begin(), found->adapters.end(),
                  [&](const HeldAdapter& aHeld) { return Matches(aHeld, adapter); });
    if (!held) {
      found->adapters.push_back(adapter);
    }
  }
}

void
HeldModels::Remove(const HeldModel& aModel)
{
  const std::lock_guard lock(this->mutex);
  if (aModel.adapters.empty()) {
    this->models.erase(
      std::remove_if(this->models.begin(), this->models.end(),
                     [&](const HeldModel& aHeld) { return IsSame(aHeld, aModel); }),
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
                       [&](const HeldAdapter& aHeld) { return Matches(aHeld, adapter); }),
        model.adapters.end());
    }
  }
}

std::vector<HeldModel>
HeldModels::List() const
{
  const std::lock_guard lock(this->mutex);
  return this->models;
}

} // namespace lagoonward::standins
