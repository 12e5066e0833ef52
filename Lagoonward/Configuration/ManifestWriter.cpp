#include "Lagoonward/Configuration/ManifestWriter.h"

namespace lagoonward {

namespace {

using nlohmann::json;

/// A JSON array with one element per entry.
template<typename Item, typename WriteItem>
json
WriteList(const std::vector<Item>& aItems, WriteItem aWriteItem)
{
  json array = json::array();
  for (const Item& item : aItems) {
    array.push_back(aWriteItem(item));
  }
  return array;
}

json
WriteModel(const ManifestModel& aModel)
{
  const auto writeAdapter = [](const ManifestAdapter& aAdapter) {
    return json{ { "name", aAdapter.name }, { "versions", aAdapter.versions } };
  };
  return { { "name", aModel.name },
           { "version", aModel.version },
           { "adapters", WriteList(aModel.adapters, writeAdapter) },
           { "min_endpoints", aModel.minEndpoints } };
}

json
WriteService(const ManifestService& aService)
{
  return { { "name", aService.name }, { "repeatable", aService.repeatable } };
}

json
WriteClass(const ManifestClass& aClass)
{
  return { { "name", aClass.name },
           { "first_token_ms", aClass.firstToken.count() },
           { "between_tokens_ms", aClass.betweenTokens.count() },
           { "deadline_ms", aClass.deadline.count() },
           { "priority", aClass.priority } };
}

json
WriteClient(const ManifestClient& aClient)
{
  return { { "name", aClient.name },
           { "key_sha256", aClient.keySha256 },
           { "weight", aClient.weight },
           { "tokens_per_second", aClient.tokensPerSecond },
           { "concurrent", aClient.concurrent } };
}

} // namespace

json
WriteManifest(const Manifest& aManifest)
{
  return { { "market", aManifest.market },
           { "region", aManifest.region },
           { "failure_domains", aManifest.failureDomains },
           { "models", WriteList(aManifest.models, WriteModel) },
           { "services", WriteList(aManifest.services, WriteService) },
           { "classes", WriteList(aManifest.classes, WriteClass) },
           { "clients", WriteList(aManifest.clients, WriteClient) },
           { "machine_classes", aManifest.machineClasses },
           { "price_ceiling", aManifest.priceCeiling },
           { "orders_fenced", aManifest.ordersFenced },
           { "objective",
             { { "cost", aManifest.objective.cost },
               { "recomputed_tokens", aManifest.objective.recomputedTokens } } } };
}

} // namespace lagoonward
