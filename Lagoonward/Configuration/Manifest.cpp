#include "Lagoonward/Configuration/Manifest.h"

#include <algorithm>

namespace lagoonward {

namespace {

/// The first item with the name, or nullptr.
template<typename Item>
const Item*
FindByName(const std::vector<Item>& aItems, std::string_view aName)
{
  const auto found = std::find_if(aItems.begin(), aItems.end(),
                                  [&](const Item& aItem) { return aItem.name == aName; });
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

const ManifestClass*
Manifest::FindClass(std::string_view aName) const
{
  return FindByName(this->classes, aName);
}

const ManifestService*
Manifest::FindService(std::string_view aName) const
{
  return FindByName(this->services, aName);
}

const ManifestModel*
Manifest::FindModel(std::string_view aName, std::string_view aVersion) const
{
  const auto found =
    std::find_if(this->models.begin(), this->models.end(), [&](const ManifestModel& aModel) {
      return aModel.name == aName && (aVersion.empty() || aModel.version == aVersion);
    });
  return found == this->models.end() ? nullptr : &*found;
}

} // namespace lagoonward
