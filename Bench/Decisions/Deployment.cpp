#include "Bench/Decisions/Deployment.h"

#include <fmt/format.h>

namespace lagoonward::bench {

namespace {

/// Price of a large host in a failure domain, per hour.
struct DomainPrice
{
  const char* domain;
  double large;
};

/// Ratio of the price of a medium host to that of a large one.
constexpr double kMediumPrice = 0.7;

EngineSpec
MakeLarge()
{
  EngineSpec spec;
  spec.machineClass = "large";
  return spec;
}

EngineSpec
MakeMedium()
{
  EngineSpec spec;
  spec.machineClass = "medium";
  spec.prefillTokensPerSecond = 5200;
  spec.stepBaseSeconds = 0.016;
  spec.stepPerSequenceSeconds = 0.0011;
  spec.sequences = 20;
  spec.cacheBlocks = 2400;
  return spec;
}

/// Adds engines, assigned to the domains round-robin; every third one is medium.
void
AddEngines(Deployment& aDeployment, const std::vector<DomainPrice>& aPrices, int aCount,
           const EngineSpec& aLarge, const EngineSpec& aMedium)
{
  for (const DomainPrice& price : aPrices) {
    aDeployment.manifest.failureDomains.emplace_back(price.domain);
  }
  for (int index = 0; index < aCount; ++index) {
    const DomainPrice& price = aPrices[static_cast<std::size_t>(index) % aPrices.size()];
    const bool medium = index % 3 == 2;
    EngineSpec spec = medium ? aMedium : aLarge;
    spec.id = fmt::format("engine-{}", index + 1);
    spec.failureDomain = price.domain;
    spec.pricePerHour = price.large * (medium ? kMediumPrice : 1);
    aDeployment.engines.push_back(spec);
  }
}

void
AddClients(Manifest& aManifest, const std::vector<const char*>& aNames)
{
  // The first two are large: they send more than half of the requests
  for (const char* name : aNames) {
    ManifestClient client;
    client.name = name;
    client.weight = aManifest.clients.size() < 2 ? 3 : 1;
    aManifest.clients.push_back(client);
  }
}

Deployment
MakeUtslipp()
{
  Deployment deployment;
  deployment.name = "utslipp";
  Manifest& manifest = deployment.manifest;
  manifest.market = "vestland";
  manifest.models = { { "permit", "1", {}, 2 } };
  manifest.services = { { "plant-portal", false } };
  manifest.classes = { { "draft", Milliseconds(6000), Milliseconds(100), Milliseconds(240000), 1 },
                       { "status", Milliseconds(1000), Milliseconds(66), Milliseconds(15000), 9 } };
  manifest.objective = { 0.3, 0.7 };
  AddClients(manifest, { "vestland-county", "bergen", "fjell", "askvoll", "gulen" });
  AddEngines(deployment,
             { { "bergen-a", 2.6 }, { "bergen-b", 2.3 }, { "fana", 1.7 }, { "askoy", 2.0 } }, 9,
             MakeLarge(), MakeMedium());
  TrafficSpec drafts;
  drafts.className = "draft";
  drafts.perSecond = 2.4;
  drafts.documents = 24;
  drafts.documentTokensLow = 6000;
  drafts.documentTokensHigh = 18000;
  drafts.outputLow = 400;
  drafts.outputHigh = 900;
  TrafficSpec status;
  status.className = "status";
  status.perSecond = 10;
  TrafficSpec portal;
  portal.className = "status";
  portal.service = "plant-portal";
  portal.perSecond = 3;
  deployment.traffic = { drafts, status, portal };
  return deployment;
}

Deployment
MakeCantabrico()
{
  Deployment deployment;
  deployment.name = "cantabrico";
  Manifest& manifest = deployment.manifest;
  manifest.market = "norte";
  manifest.models = { { "tax", "1", {}, 2 } };
  manifest.services = { { "calculator", false } };
  manifest.classes = { { "memo", Milliseconds(6000), Milliseconds(100), Milliseconds(240000), 1 },
                       { "tag", Milliseconds(3000), Milliseconds(100), Milliseconds(60000), 3 },
                       { "question", Milliseconds(1000), Milliseconds(66), Milliseconds(15000),
                         9 } };
  manifest.objective = { 0.7, 0.3 };
  AddClients(manifest, { "gestoria-uno", "gestoria-dos", "nervion", "besaya", "nalon" });
  AddEngines(deployment,
             { { "bilbao-a", 2.4 }, { "bilbao-b", 2.2 }, { "santander", 1.6 }, { "oviedo", 1.9 } },
             12, MakeLarge(), MakeMedium());
  TrafficSpec memos;
  memos.className = "memo";
  memos.perSecond = 4;
  memos.documents = 40;
  memos.documentTokensLow = 2000;
  memos.documentTokensHigh = 8000;
  memos.usesPerDocument = 6;
  memos.outputLow = 400;
  memos.outputHigh = 1000;
  TrafficSpec tags;
  tags.className = "tag";
  tags.perSecond = 10;
  tags.outputLow = 10;
  tags.outputHigh = 30;
  TrafficSpec questions;
  questions.className = "question";
  questions.perSecond = 8;
  TrafficSpec calculator;
  calculator.className = "question";
  calculator.service = "calculator";
  calculator.perSecond = 4;
  deployment.traffic = { memos, tags, questions, calculator };
  return deployment;
}

/// The size planned for two years ahead, simulated at 1/20: 44 of 880 runners, 19 of 380 daemons.
Deployment
MakePlan()
{
  Deployment deployment;
  deployment.name = "plan";
  deployment.scale = 20;
  deployment.daemons = 19;
  deployment.seconds = 60;
  Manifest& manifest = deployment.manifest;
  manifest.market = "plan";
  manifest.models = { { "general", "1", {}, 2 } };
  manifest.services = { { "records", false } };
  manifest.classes = { { "draft", Milliseconds(1800), Milliseconds(66), Milliseconds(120000), 1 },
                       { "urgent", Milliseconds(1800), Milliseconds(66), Milliseconds(15000), 9 } };
  AddClients(manifest, { "one", "two", "three", "four", "five" });

  // Each runner has eight accelerators
  EngineSpec large = MakeLarge();
  large.prefillTokensPerSecond = 30000;
  large.stepPerSequenceSeconds = 0.00025;
  large.sequences = 64;
  large.cacheBlocks = 12000;
  large.prefillChunk = 512;
  EngineSpec medium = large;
  medium.machineClass = "medium";
  medium.prefillTokensPerSecond = 20000;
  medium.stepBaseSeconds = 0.016;
  medium.sequences = 48;
  AddEngines(deployment,
             { { "a1", 20 },
               { "a2", 18 },
               { "a3", 16 },
               { "b1", 15 },
               { "b2", 19 },
               { "c1", 14 },
               { "c2", 21 } },
             44, large, medium);
  TrafficSpec drafts;
  drafts.className = "draft";
  drafts.perSecond = 60;
  drafts.documents = 400;
  drafts.documentTokensLow = 2000;
  drafts.documentTokensHigh = 8000;
  drafts.outputLow = 300;
  drafts.outputHigh = 900;
  TrafficSpec urgent;
  urgent.className = "urgent";
  urgent.perSecond = 110;
  TrafficSpec records;
  records.className = "urgent";
  records.service = "records";
  records.perSecond = 20;
  deployment.traffic = { drafts, urgent, records };
  return deployment;
}

} // namespace

std::optional<Deployment>
MakeDeployment(std::string_view aName)
{
  if (aName == "utslipp") {
    return MakeUtslipp();
  }
  if (aName == "cantabrico") {
    return MakeCantabrico();
  }
  if (aName == "plan") {
    return MakePlan();
  }
  return std::nullopt;
}

} // namespace lagoonward::bench
