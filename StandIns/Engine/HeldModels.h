#pragma once

#include "StandIns/Engine/EngineSettings.h"
#include "StandIns/Engine/TokenFunction.h"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// The models and adapters that an engine holds. Safe from any thread.
class HeldModels
{
public:
  explicit HeldModels(std::vector<HeldModel> aModels);

  /// The question's model, version and adapter as held here. aVersion may be the model's, the
  /// adapter's or empty; aAdapter may be `NAME`, `NAME@VERSION` or empty. Nothing where it is not held.
  [[nodiscard]] std::optional<Question> Resolve(const std::string& aModel,
                                                const std::string& aVersion,
                                                const std::string& aAdapter) const;

  /// Adds a model, or adapters to one that is held.
  void Add(const HeldModel& aModel);

  /// Removes the adapters named, or the whole model where none is.
  void Remove(const HeldModel& aModel);

  [[nodiscard]] std::vector<HeldModel> List() const;

private:
  mutable std::mutex mutex;
  std::vector<HeldModel> models;
};

} // namespace lagoonward::standins
