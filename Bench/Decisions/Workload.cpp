#include "Bench/Decisions/Workload.h"

#include "Lagoonward/Core/Hash.h"

#include <algorithm>

namespace lagoonward::bench {

namespace {

constexpr int kBlockTokens = 64;
constexpr int kPreambleTokens =
  960; ///< Instructions that every prompt of a deployment begins with.
constexpr double kLargeClientsPart = 0.6; ///< Part of the requests that the first two clients send.
constexpr double kRepeatableCalls = 0.7;  ///< Part of the plain services' calls that may run twice.
constexpr std::uint64_t kPreamble = 1;

/// A document and how often it will still be asked about.
struct Document
{
  std::uint64_t id = 0;
  int tokens = 0;
  int usesLeft = 0;
};

/// Generates one kind of traffic.
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

      // Documents in use at the start are at all stages of their lives
      document.usesLeft = this->random.Between(1, document.usesLeft);
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
    const std::uint64_t own = this->random.Next();
    const int shared = kPreambleTokens + documentTokens;
    for (int start = 0; start + kBlockTokens <= aItem.promptTokens; start += kBlockTokens) {
      const auto index = static_cast<std::uint64_t>(start);
      std::uint64_t source = own;
      if (start + kBlockTokens <= kPreambleTokens) {
        source = kPreamble;
      } else if (document != nullptr && start + kBlockTokens <= shared) {
        source = document->id;
      }
      aItem.blocks.push_back(CombineHashes(source, index));
    }
    if (document != nullptr && --document->usesLeft == 0) {
      this->Replace(*document);
    }
  }

private:
  Document* PickDocument()
  {
    if (this->pool.empty()) {
      return nullptr;
    }
    if (this->random.Unit() < this->scenario.hotShare) {
      this->pool[0].usesLeft = 2; // stays in use
      return this->pool.data();
    }
    return &this->pool[this->random.Next() % this->pool.size()];
  }

  void Replace(Document& aDocument)
  {
    aDocument.id = this->random.Next();
    aDocument.tokens =
      this->random.Between(this->spec.documentTokensLow, this->spec.documentTokensHigh);
    aDocument.usesLeft = this->random.Between(1, 2 * this->spec.usesPerDocument - 1);
  }

  const TrafficSpec& spec;
  const Scenario& scenario;
  Random& random;
  std::vector<Document> pool;
};

std::size_t
PickClient(Random& aRandom, std::size_t aCount)
{
  constexpr std::size_t kLarge = 2;
  if (aRandom.Unit() < kLargeClientsPart) {
    return aRandom.Next() % kLarge;
  }
  return kLarge + aRandom.Next() % (aCount - kLarge);
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
        item.repeatable = random.Unit() < kRepeatableCalls;
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
