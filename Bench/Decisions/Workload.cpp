#include "Bench/Decisions/Workload.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>

namespace lagoonward::bench {

namespace {

constexpr int kBlockTokens = 64;
/// Length of the instructions that all prompts of a deployment share.
constexpr int kPreambleTokens = 960;
/// Fraction of the requests sent by the first two clients.
constexpr double kLargeClientsFraction = 0.6;
/// Fraction of the calls to plain services that are safe to repeat.
constexpr double kRepeatableCallsFraction = 0.7;
constexpr std::uint64_t kPreamble = 1; ///< Source id of the shared instructions' blocks.

/// A document that several requests have in common.
struct Document
{
  std::uint64_t id = 0;
  int tokens = 0;
  int remainingUses = 0; ///< Requests until it is replaced.
};

/// Generates the prompts of one kind of traffic.
class TrafficSource
{
public:
  TrafficSource(const TrafficSpec& aSpec, const Scenario& aScenario, Random& aRandom)
    : spec(aSpec)
    , scenario(aScenario)
    , random(aRandom)
    , pool(static_cast<std::size_t>(aSpec.documents))
  {
    for (Document& document : this->pool) {
      this->Replace(document);

      // Initial documents start with a random number of remaining uses, so that they are not all replaced at the same
      // time
      document.remainingUses = this->random.Between(1, document.remainingUses);
    }
  }

  void FillPrompt(WorkItem& aItem)
  {
    Document* document = this->PickDocument();
    const int question =
      this->random.Between(this->spec.questionTokensLow, this->spec.questionTokensHigh);
    const int documentTokens = document != nullptr ? document->tokens : 0;
    aItem.promptTokens = kPreambleTokens + documentTokens + question;
    aItem.outputTokens = this->random.Between(this->spec.outputLow, this->spec.outputHigh);
    aItem.expectedOutput = (this->spec.outputLow + this->spec.outputHigh) / 2;
    const std::uint64_t ownSource = this->random.Next();
    const int shared = kPreambleTokens + documentTokens;
    for (int start = 0; start + kBlockTokens <= aItem.promptTokens; start += kBlockTokens) {
      const auto index = static_cast<std::uint64_t>(start);
      std::uint64_t source = ownSource;
      if (start + kBlockTokens <= kPreambleTokens) {
        source = kPreamble;
      } else if (document != nullptr && start + kBlockTokens <= shared) {
        source = document->id;
      }
      aItem.blocks.push_back(CombineHashes(source, index));
    }
    if (document != nullptr && --document->remainingUses == 0) {
      this->Replace(*document);
    }
  }

private:
  Document* PickDocument()
  {
    if (this->pool.empty()) {
      return nullptr;
    }
    if (this->random.Unit() < this->scenario.hotDocumentFraction) {
      this->pool[0].remainingUses = 2; // never replaced
      return this->pool.data();
    }
    return &this->pool[this->random.Next() % this->pool.size()];
  }

  void Replace(Document& aDocument)
  {
    aDocument.id = this->random.Next();
    aDocument.tokens =
      this->random.Between(this->spec.documentTokensLow, this->spec.documentTokensHigh);
    aDocument.remainingUses = this->random.Between(1, 2 * this->spec.usesPerDocument - 1);
  }

  const TrafficSpec& spec;
  const Scenario& scenario;
  Random& random;
  std::vector<Document> pool;
};

std::size_t
PickClient(Random& aRandom, std::size_t aCount)
{
  constexpr std::size_t kLargeClients = 2;
  if (aRandom.Unit() < kLargeClientsFraction) {
    return aRandom.Next() % kLargeClients;
  }
  return kLargeClients + aRandom.Next() % (aCount - kLargeClients);
}

std::size_t
FindClassIndex(const Manifest& aManifest, std::string_view aName)
{
  const auto found =
    std::find_if(aManifest.classes.begin(), aManifest.classes.end(),
                 [&](const ManifestClass& aClass) { return aClass.name == aName; });
  return static_cast<std::size_t>(found - aManifest.classes.begin());
}

} // namespace

std::vector<WorkItem>
MakeWorkload(const Deployment& aDeployment, const Scenario& aScenario, std::uint64_t aSeed)
{
  Random random(CombineHashes(aSeed, HashBytes(aDeployment.name)));
  const Manifest& manifest = aDeployment.manifest;
  std::vector<WorkItem> items;
  for (const TrafficSpec& spec : aDeployment.traffic) {
    TrafficSource source(spec, aScenario, random);
    double now = 0;
    while (true) {
      now += random.Exponential(1 / (spec.perSecond * aScenario.LoadAt(now)));
      if (now >= aDeployment.seconds) {
        break;
      }
      WorkItem item;
      item.at = now;
      item.classIndex = FindClassIndex(manifest, spec.className);
      item.client = PickClient(random, manifest.clients.size());
      item.daemon = random.Next() % static_cast<std::size_t>(aDeployment.daemons);
      item.service = spec.service;
      if (spec.service.empty()) {
        source.FillPrompt(item);
      } else {
        item.repeatable = random.Unit() < kRepeatableCallsFraction;
      }
      items.push_back(std::move(item));
    }
  }
  std::stable_sort(items.begin(), items.end(), [](const WorkItem& aLeft, const WorkItem& aRight) {
    return aLeft.at < aRight.at;
  });
  return items;
}

} // namespace lagoonward::bench
