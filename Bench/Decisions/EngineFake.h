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

/// Speed, capacity and price of a simulated engine.
struct EngineSpec
{
  std::string id;
  std::string failureDomain;
  std::string machineClass;
  double pricePerHour = 1;
  double prefillTokensPerSecond = 8000;
  double stepBaseSeconds = 0.012;
  double stepPerSequenceSeconds = 0.0008;
  int sequences = 24; ///< Maximum number of running sequences; others wait.
  /// Capacity of the prefix cache in blocks of 64 tokens; least recently used are evicted.
  int cacheBlocks = 3000;
  int prefillChunk = 256; ///< Maximum prefill tokens per step while sequences are decoding.
  /// Maximum prefill tokens per step while no sequence is decoding.
  int prefillChunkWithoutDecoding = 2048;
};

/// An attempt submitted to an engine. The memory behind the views must stay valid until it has ended.
struct EngineJob
{
  std::uint32_t attempt = 0;
  int priority = 0;
  std::span<const std::uint64_t> blocks; ///< Block hashes of the prompt.
  int promptTokens = 0;
  int resumedTokens = 0; ///< Generated on another host; part of the prefill, after the prompt.
  int outputTokens = 0;  ///< Remaining tokens to generate.
  bool imported = false; ///< Its KV cache was transferred; no prefill is needed.
};

/// A token generated in a step.
struct EngineToken
{
  std::uint32_t attempt = 0;
  bool last = false;
};

/// Blocks that have been computed by any engine of a run. Computing a block again counts as recomputation.
struct ComputedBlocks
{
  std::unordered_set<std::uint64_t> blocks;
  std::int64_t recomputedTokens = 0;
  std::int64_t prefilledTokens = 0;
};

/// Model engine with continuous batching, simulated in steps of virtual time. Waiting jobs start in order of
/// priority. Each step generates one token for every decoding sequence and spends a budget of prefill tokens on the
/// prompts in order of priority. Prompt prefixes are cached in a bounded LRU cache. Not thread-safe. Times are in
/// seconds.
class EngineFake
{
public:
  EngineFake(const EngineSpec& aSpec, ComputedBlocks& aComputed);

  /// Queues a job by priority, after earlier jobs of the same priority.
  void Submit(const EngineJob& aJob);
  /// Removes a waiting or running job.
  void Cancel(std::uint32_t aAttempt);

  /// Begins a step if there is work and no step is in progress.
  /// @return duration of the step in seconds; zero if none began
  [[nodiscard]] double BeginStep();

  /// Ends the step in progress and appends its tokens.
  void EndStep(std::vector<EngineToken>& aTokens);

  [[nodiscard]] const EngineSpec& Spec() const { return this->spec; }
  [[nodiscard]] int Waiting() const { return static_cast<int>(this->waiting.size()); }
  [[nodiscard]] int Running() const { return static_cast<int>(this->running.size()); }

  /// Blocks stored or evicted since the last call.
  [[nodiscard]] std::vector<std::uint64_t> TakeStored();
  [[nodiscard]] std::vector<std::uint64_t> TakeEvicted();

private:
  struct Sequence
  {
    EngineJob job;
    bool prefillStarted = false; ///< Prefill has started; blocks cached at that time are skipped.
    int prefillLeft = 0;
    std::size_t blocksDone = 0;
    int produced = 0;
    int chunk = 0; ///< Prefill tokens computed in this step.
  };

  void Start(const EngineJob& aJob);
  void BeginPrefill(Sequence& aSequence);
  /// Counts the leading blocks that are cached and marks them as recently used.
  [[nodiscard]] std::size_t TouchCachedBlocks(std::span<const std::uint64_t> aBlocks);
  /// Stores the blocks that the prefill has completed.
  void StoreBlocks(Sequence& aSequence);
  /// Adds a block to the cache or marks it as recently used; may evict another one.
  void Store(std::uint64_t aBlock);

  EngineSpec spec;
  ComputedBlocks& computed;
  std::deque<EngineJob> waiting; ///< By priority, then by arrival.
  std::vector<Sequence> running;
  bool inStep = false;
  std::list<std::uint64_t> lruBlocks; ///< Cached blocks, most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> evicted;
};

} // namespace lagoonward::bench
