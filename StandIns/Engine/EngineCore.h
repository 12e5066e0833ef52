#pragma once

#include "StandIns/Engine/EngineSettings.h"
#include "StandIns/Engine/EngineStream.h"
#include "StandIns/Engine/PrefixCache.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lagoonward::standins {

/// Cumulative counters of an engine.
struct EngineCounters
{
  std::int64_t accepted = 0;   ///< Completions accepted.
  std::int64_t refused = 0;    ///< Completions refused before execution.
  std::int64_t reattached = 0; ///< Streams continued by a new reader.
  std::int64_t finished = 0;   ///< Answers generated completely.
  std::int64_t cancelled = 0;  ///< Streams cancelled, orphans included.
  std::int64_t preempted = 0;  ///< Streams requeued for one of higher priority or lack of memory.
  std::int64_t divergedResumes = 0; ///< Resumes whose tokens differ from the answer's.
  std::int64_t promptTokens = 0;    ///< Prompt and resume tokens received.
  std::int64_t prefillComputed = 0; ///< Of those, computed by this engine.
  std::int64_t prefillCached = 0;   ///< Of those, found in the prefix cache.
  std::int64_t generated = 0;       ///< Tokens generated.
  std::int64_t recomputed = 0;      ///< Positions computed that had been computed before.
};

/// Load of an engine at one point in time.
struct EngineLoadSample
{
  std::size_t waiting = 0;
  std::size_t running = 0;
  std::size_t blocksUsed = 0;
  std::int64_t asOfMs = 0; ///< Unix time.
};

/// Faults injected into one stream.
struct StreamFaults
{
  std::optional<Fault> cut;
  std::optional<Fault> crossed;
  std::optional<Fault> skipped;
};

/// Continuous-batching loop of one engine: a dedicated thread executes steps, each of which prefills a
/// chunk of the prompts and generates one token for every running stream. Thread-safe.
class EngineCore
{
public:
  using Reader = std::shared_ptr<HttpExchange>;

  EngineCore(const EngineSettings& aSettings, ComputeLedger& aLedger);
  EngineCore(const EngineCore&) = delete;
  EngineCore& operator=(const EngineCore&) = delete;
  ~EngineCore();

  /// Joins the thread. Unfinished streams remain incomplete.
  void Stop();

  /// Queues a completion and sends its first event immediately.
  void Submit(CompletionRequest aRequest, StreamFaults aFaults, const Reader& aReader);

  /// Attaches a new reader to a stream, starting at token aFrom. A previous reader is disconnected.
  /// @return an error kind for the caller; empty on success
  [[nodiscard]] std::string Reattach(const std::string& aStreamId, std::int64_t aFrom,
                                     const std::string& aAttemptId, const Reader& aReader);

  /// Cancels a stream.
  /// @return the number of tokens of its answer so far, or nullopt if there is no such stream
  std::optional<std::int64_t> Cancel(const std::string& aStreamId);

  /// Complete cache blocks of a stream, or nullopt if there is no such stream.
  [[nodiscard]] std::optional<std::vector<std::uint64_t>> Export(const std::string& aStreamId);

  /// Adds blocks to the prefix cache.
  /// @return how many were stored
  std::size_t Import(const std::vector<std::uint64_t>& aChain);

  /// Pauses generation for aLength.
  void Pause(std::chrono::milliseconds aLength);

  void DropCacheEvents();
  void CountRefusal();

  /// The latest load sample; its age is at most the configured `loadLag`.
  [[nodiscard]] EngineLoadSample Load();
  [[nodiscard]] EngineCounters Counters();

  /// Cache events from aFrom on that are at least `cacheEventDelay` old.
  /// @param aStart  receives the sequence number of the oldest retained event
  /// @param aEnd    receives the sequence number after the last event that may be reported
  [[nodiscard]] std::vector<CacheEvent> CacheEvents(std::int64_t aFrom, std::int64_t& aStart,
                                                    std::int64_t& aEnd);

private:
  using StreamPointer = std::shared_ptr<EngineStream>;
  using Lock = std::unique_lock<std::mutex>;

  /// Part of one prompt that is prefilled in one step.
  struct PrefillSlice
  {
    StreamPointer stream;
    std::int64_t words = 0;
  };

  void Run();
  void Step(Lock& aLock);
  void WaitUntil(Lock& aLock, std::chrono::steady_clock::time_point aEnd);

  // Scheduling
  void Enqueue(const StreamPointer& aStream);
  void Admit();
  void Begin(const StreamPointer& aStream);
  [[nodiscard]] StreamPointer LowestPriorityRunning() const;
  void Preempt(const StreamPointer& aStream);
  [[nodiscard]] std::vector<PrefillSlice> PlanPrefill() const;

  // Execution of a step
  void Prefill(const PrefillSlice& aSlice);
  void Generate(const StreamPointer& aStream);
  void AppendWord(EngineStream& aStream, std::string_view aWord);
  void PinCompleteBlocks(const StreamPointer& aStream);
  void ReleaseBlocks(EngineStream& aStream);
  void Finish(const StreamPointer& aStream, EngineStream::State aState);
  void Unschedule(const StreamPointer& aStream);
  void RemoveExpiredStreams();
  void SampleLoad();

  // Output to the reader
  void WatchReader(const StreamPointer& aStream, const Reader& aReader);
  void SendFirst(EngineStream& aStream);
  void SendTokens(EngineStream& aStream);
  void SendLast(EngineStream& aStream);

  const EngineSettings settings;
  ComputeLedger& ledger;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  std::chrono::steady_clock::time_point pausedUntil;
  std::chrono::steady_clock::time_point lastStepEnd; ///< Zero after an idle period.
  std::chrono::steady_clock::time_point nextExpiryCheck;
  std::chrono::steady_clock::time_point nextSample;
  PrefixCache cache;
  std::map<std::string, StreamPointer> streams; ///< Active and recently ended streams, by id.
  std::vector<StreamPointer> waiting;           ///< Highest priority first.
  std::vector<StreamPointer> running;
  std::int64_t arrivals = 0;
  EngineCounters counters;
  EngineLoadSample lastLoad;
  std::thread thread;
};

} // namespace lagoonward::standins
