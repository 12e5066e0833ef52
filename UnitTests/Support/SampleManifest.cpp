#include "UnitTests/Support/SampleManifest.h"

#include "Lagoonward/Configuration/ManifestReader.h"

namespace lagoonward::testing {

nlohmann::json
SampleManifestJson(std::string_view aMarket)
{
  auto manifest = nlohmann::json::parse(R"({
    "region": "vestland", "failure_domains": ["bergen-a", "fana"],
    "models": [{"name": "permit", "version": "3", "min_endpoints": 2,
                "adapters": [{"name": "effluent", "versions": ["2", "1"]}]}],
    "services": [{"name": "portal", "repeatable": false}],
    "classes": [{"name": "urgent", "first_token_ms": 800, "between_tokens_ms": 60,
                 "deadline_ms": 5000, "priority": 10}],
    "clients": [{"name": "county", "weight": 2, "tokens_per_second": 900, "concurrent": 40}],
    "machine_classes": ["a100"], "price_ceiling": 4.5, "orders_fenced": true,
    "objective": {"cost": 0.25, "recomputed_tokens": 0.75}})");
  manifest["market"] = aMarket;
  manifest["clients"][0]["key_sha256"] = std::string(64, 'a');
  return manifest;
}

Manifest
SampleManifest(std::string_view aMarket)
{
  return *ReadManifest(SampleManifestJson(aMarket), "").manifest;
}

} // namespace lagoonward::testing
