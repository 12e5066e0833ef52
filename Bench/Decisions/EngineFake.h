#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace lagoonward::bench {

/// How fast and large a fake engine is.
struct EngineSpec
{
  std::string id;
  std::string failureDomain;
  std::string machineClass;
  double pricePerHour = 1;
  double prefillTokensPerSecond = 8000;
  double stepBaseSeconds = 0.012;
  double stepPerSequenceSeconds = 0.0008;
  int sequences = 24; ///< Run at once; more wait.
  int cacheBlocks =
    3000; ///< Blocks of 64 tokens in the prefix cache, least recently used go first.
  int prefillChunk = 256;  ///< Prompt tokens computed in a step beside running answers.
  int prefillAlone = 2048; ///< The same while nothing is being decoded.
};

/// One attempt as it is handed to an engine. The views must live until it is over.
struct EngineJob
{
  std::uint32_t attempt = 0;
  int priority = 0;
  std::span<const std::uint64_t> blocks; ///< Of the prompt.
  int promptTokens = 0;
  int resumedTokens = 0; ///< Generated elsewhere; to be read again behind the prompt.
  int outputTokens = 0;  ///< Still to be generated.
  bool imported = false; ///< Its KV cache came along: nothing to read.
};

/// A token that a step has brought.
struct EngineToken
{
  std::uint32_t attempt = 0;
  bool last = false;
};

/// Which blocks have been computed by any engine of a run; a second time is a recomputation.
struct ComputedBlocks
{
  std::unordered_set<std::uint64_t> blocks;
  std::int64_t recomputedTokens = 0;
  std::int64_t prefilledTokens = 0;
};

/// A model engine that batches continuously, in steps of virtual time: waiting jobs start by priority, each step brings one token to every
/// sequence that is decoding and a chunk of prefill to the foremost prompt. Prompt prefixes are cached in limited memory.
class EngineFake
{
public:
  EngineFake(const EngineSpec& aSpec, ComputedBlocks& aComputed);

  void Submit(const EngineJob& aJob);
  void Cancel(std::uint32_t aAttempt);

  /// Begins a step if there is work and none is in progress.
  /// @return its length in seconds, zero if none began
  [[nodiscard]] double BeginStep();

  /// Ends the step in progress; its tokens are appended.
  void EndStep(std::vector<EngineToken>& aTokens);

  [[nodiscard]] const EngineSpec& Spec() const { return this->spec; }
  [[nodiscard]] int Waiting() const { return static_cast<int>(this->waiting.size()); }
  [[nodiscard]] int Running() const { return static_cast<int>(this->running.size()); }

  /// Cache events since the last call.
  [[nodiscard]] std::vector<std::uint64_t> TakeStored();
  [[nodiscard]] std::vector<std::uint64_t> TakeEvicted();

private:
  struct Sequence
  {
    EngineJob job;
    bool begun =
      false; ///< Its prefill has had a chunk; what was cached by then need not be computed.
    int prefillLeft = 0;
    std::size_t blocksDone = 0;
    int produced = 0;
    int chunk = 0; ///< Prefill given to it in this step.
  };

  void Start(const EngineJob& aJob);
  void BeginPrefill(Sequence& aSequence);
  [[nodiscard]] std::size_t CachedBlocks(std::span<const std::uint64_t> aBlocks);
  void StoreBlocks(Sequence& aSequence);
  void Store(std::uint64_t aBlock);

  EngineSpec spec;
  ComputedBlocks& computed;
  std::deque<EngineJob> waiting; ///< By priority, then by arrival.
  std::vector<Sequence> running;
  bool inStep = false;
  std::list<std::uint64_t> recent; ///< Cached blocks, latest used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> evicted;
};

} // namespace lagoonward::bench
