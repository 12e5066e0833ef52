#include "Lagoonward/Placement/LoadedModels.h"

#include <algorithm>

namespace lagoonward {

const LoadedModel*
FindLoaded(const Endpoint& aEndpoint, std::string_view aModel, std::string_view aVersion)
{
  if (!aEndpoint.load) {
    return nullptr;
  }
  const auto& models = aEndpoint.load->models;
  const auto found = std::find_if(models.begin(), models.end(), [&](const LoadedModel& aLoaded) {
    return aLoaded.name == aModel && aLoaded.version == aVersion;
  });
  return found == models.end() ? nullptr : &*found;
}

bool
HasAdapter(const LoadedModel& aModel, std::string_view aAdapter, std::string_view aVersion)
{
  return std::any_of(aModel.adapters.begin(), aModel.adapters.end(),
                     [&](const LoadedAdapter& aLoaded) {
                       return aLoaded.name == aAdapter && aLoaded.version == aVersion;
                     });
}

} // namespace lagoonward
