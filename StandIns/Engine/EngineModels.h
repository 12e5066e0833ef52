#pragma once

#include "StandIns/Engine/EngineSettings.h"
#include "StandIns/Engine/TokenFunction.h"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lagoonward::standins {

/// Registry of the models and adapters that are loaded on an engine. Thread-safe.
class EngineModels
{
public:
  explicit EngineModels(std::vector<EngineModel> aModels);

  /// Resolves a request to the loaded model, version and adapter. aVersion may be the model's, the
  /// adapter's or empty; aAdapter may be `NAME`, `NAME@VERSION` or empty. Returns nullopt if no loaded
  /// model matches.
  [[nodiscard]] std::optional<Question> Resolve(const std::string& aModel,
                                                const std::string& aVersion,
                                                const std::string& aAdapter) const;

  /// Adds a model; if it is loaded already, adds the adapters to it.
  void Add(const EngineModel& aModel);

  /// Removes the given adapters, or the model itself if no adapter is given.
  void Remove(const EngineModel& aModel);

  [[nodiscard]] std::vector<EngineModel> List() const;

private:
  mutable std::mutex mutex;
  std::vector<EngineModel> models;
};

} // namespace lagoonward::standins
