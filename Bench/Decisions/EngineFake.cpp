#include "Bench/Decisions/EngineFake.h"

#include <algorithm>
#include <utility>

namespace lagoonward::bench {

namespace {

constexpr int kBlockTokens = 64;

} // namespace

EngineFake::EngineFake(const EngineSpec& aSpec, ComputedBlocks& aComputed)
  : spec(aSpec)
  , computed(aComputed)
{
}

void
EngineFake::Submit(const EngineJob& aJob)
{
  const auto position =
    std::find_if(this->waiting.begin(), this->waiting.end(),
                 [&](const EngineJob& aOther) { return aOther.priority < aJob.priority; });
  this->waiting.insert(position, aJob);
}

void
EngineFake::Cancel(std::uint32_t aAttempt)
{
  std::erase_if(this->waiting, [&](const EngineJob& aJob) { return aJob.attempt == aAttempt; });
  std::erase_if(this->running,
                [&](const Sequence& aSequence) { return aSequence.job.attempt == aAttempt; });
}

double
EngineFake::BeginStep()
{
  if (this->inStep) {
    return 0;
  }
  while (!this->waiting.empty() && this->Running() < this->spec.sequences) {
    this->Start(this->waiting.front());
    this->waiting.pop_front();
  }
  if (this->running.empty()) {
    return 0;
  }

  // Prefill is done in chunks, by priority, so that decoding sequences are not blocked by long prompts
  const auto decoding =
    std::count_if(this->running.begin(), this->running.end(), [](const Sequence& aSequence) {
      return aSequence.prefillStarted && aSequence.prefillLeft == 0;
    });
  int budget = decoding > 0 ? this->spec.prefillChunk : this->spec.prefillChunkWithoutDecoding;
  int prefill = 0;
  std::stable_sort(this->running.begin(), this->running.end(),
                   [](const Sequence& aLeft, const Sequence& aRight) {
                     return aLeft.job.priority > aRight.job.priority;
                   });
  for (Sequence& sequence : this->running) {
    if (!sequence.prefillStarted && budget > 0) {
      this->BeginPrefill(sequence);
    }
    sequence.chunk = std::min(budget, sequence.prefillLeft);
    budget -= sequence.chunk;
    prefill += sequence.chunk;
  }
  this->inStep = true;
  return this->spec.stepBaseSeconds +
         this->spec.stepPerSequenceSeconds * static_cast<double>(decoding) +
         prefill / this->spec.prefillTokensPerSecond;
}

void
EngineFake::EndStep(std::vector<EngineToken>& aTokens)
{
  this->inStep = false;
  for (Sequence& sequence : this->running) {
    if (sequence.prefillLeft > 0) {
      sequence.prefillLeft -= sequence.chunk;
      this->computed.prefilledTokens += sequence.chunk;
      this->StoreBlocks(sequence);
      if (sequence.prefillLeft > 0) {
        continue;
      }
    }
    ++sequence.produced;
    aTokens.push_back({ sequence.job.attempt, sequence.produced >= sequence.job.outputTokens });
  }
  std::erase_if(this->running, [](const Sequence& aSequence) {
    return aSequence.produced >= aSequence.job.outputTokens;
  });
}

void
EngineFake::Start(const EngineJob& aJob)
{
  Sequence sequence;
  sequence.job = aJob;
  sequence.prefillLeft = aJob.promptTokens + aJob.resumedTokens;
  if (aJob.imported) {
    sequence.prefillStarted = true;
    sequence.prefillLeft = 0;
    for (const std::uint64_t block : aJob.blocks) {
      this->Store(block);
    }
  }
  this->running.push_back(sequence);
}

void
EngineFake::BeginPrefill(Sequence& aSequence)
{
  const EngineJob& job = aSequence.job;
  aSequence.prefillStarted = true;
  aSequence.blocksDone = this->TouchCachedBlocks(job.blocks);
  const int cached = static_cast<int>(aSequence.blocksDone) * kBlockTokens;
  aSequence.prefillLeft = std::max(job.promptTokens + job.resumedTokens - cached, 1);

  // Tokens generated on another host are prefilled again
  this->computed.recomputedTokens += job.resumedTokens;
}

std::size_t
EngineFake::TouchCachedBlocks(std::span<const std::uint64_t> aBlocks)
{
  std::size_t count = 0;
  while (count < aBlocks.size() && this->cache.count(aBlocks[count]) > 0) {
    this->Store(aBlocks[count]);
    ++count;
  }
  return count;
}

void
EngineFake::StoreBlocks(Sequence& aSequence)
{
  // Blocks completed by the prefill so far
  const EngineJob& job = aSequence.job;
  const int done = job.promptTokens + job.resumedTokens - aSequence.prefillLeft;
  const auto reached =
    std::min(static_cast<std::size_t>(std::max(done, 0) / kBlockTokens), job.blocks.size());
  for (; aSequence.blocksDone < reached; ++aSequence.blocksDone) {
    const std::uint64_t block = job.blocks[aSequence.blocksDone];
    if (!this->computed.blocks.insert(block).second) {
      this->computed.recomputedTokens += kBlockTokens;
    }
    this->Store(block);
  }
}

void
EngineFake::Store(std::uint64_t aBlock)
{
  const auto known = this->cache.find(aBlock);
  if (known != this->cache.end()) {
    this->lruBlocks.splice(this->lruBlocks.begin(), this->lruBlocks, known->second);
    return;
  }
  this->lruBlocks.push_front(aBlock);
  this->cache.emplace(aBlock, this->lruBlocks.begin());
  this->stored.push_back(aBlock);
  if (this->cache.size() > static_cast<std::size_t>(this->spec.cacheBlocks)) {
    this->evicted.push_back(this->lruBlocks.back());
    this->cache.erase(this->lruBlocks.back());
    this->lruBlocks.pop_back();
  }
}

std::vector<std::uint64_t>
EngineFake::TakeStored()
{
  return std::exchange(this->stored, {});
}

std::vector<std::uint64_t>
EngineFake::TakeEvicted()
{
  return std::exchange(this->evicted, {});
}

} // namespace lagoonward::bench
