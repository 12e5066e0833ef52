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

/// What an engine has done so far.
struct EngineCounters
{
  std::int64_t accepted = 0;   ///< Completions begun.
  std::int64_t refused = 0;    ///< Completions refused before anything ran.
  std::int64_t reattached = 0; ///< Streams that a new reader took up.
  std::int64_t finished = 0;   ///< Answers generated to their end.
  std::int64_t cancelled = 0;  ///< Streams cancelled, orphans included.
  std::int64_t preempted = 0;  ///< Streams put back for a more urgent one or for lack of memory.
  std::int64_t divergedResumes = 0; ///< Resumes whose tokens were not this answer's.
  std::int64_t promptTokens = 0;    ///< Prompt and resume tokens asked for.
  std::int64_t prefillComputed = 0; ///< Of those, computed here.
  std::int64_t prefillCached = 0;   ///< Of those, found in the prefix cache.
  std::int64_t generated = 0;       ///< Tokens generated.
  std::int64_t recomputed = 0;      ///< Positions computed that had been computed before.
};

/// Load of an engine at one moment.
struct EngineLoadReading
{
  std::size_t waiting = 0;
  std::size_t running = 0;
  std::size_t blocksUsed = 0;
  std::int64_t asOfMs = 0; ///< Unix time.
};

/// Faults that strike one stream.
struct StreamFaults
{
  std::optional<Fault> cut;
  std::optional<Fault> crossed;
  std::optional<Fault> skipped;
};

/// The batch of one engine: one thread takes one step after another, and each step reads a chunk of
/// prompts and generates one token for every stream that is running. Safe from any thread.
class EngineCore
{
public:
  using Reader = std::shared_ptr<HttpExchange>;

  EngineCore(const EngineSettings& aSettings, ComputeLedger& aLedger);
  EngineCore(const EngineCore&) = delete;
  EngineCore& operator=(const EngineCore&) = delete;
  ~EngineCore();

  /// Ends the thread. Streams stop where they are.
  void Stop();

  /// Takes a completion in and answers its first event at once.
  void Submit(CompletionRequest aRequest, StreamFaults aFaults, const Reader& aReader);

  /// Gives a stream a new reader, from the token aFrom on.
  /// @return an error for the caller, empty if it worked
  [[nodiscard]] std::string Reattach(const std::string& aStreamId, std::int64_t aFrom,
                                     const std::string& aAttemptId, const Reader& aReader);

  /// Ends a stream early.
  /// @return the tokens that it has, or nothing where there is no such stream
  std::optional<std::int64_t> Cancel(const std::string& aStreamId);

  /// Whole cache blocks of a stream, or nothing where there is no such stream.
  [[nodiscard]] std::optional<std::vector<std::uint64_t>> Export(const std::string& aStreamId);

  /// Puts blocks into the prefix cache.
  /// @return how many found room
  std::size_t Import(const std::vector<std::uint64_t>& aChain);

  /// Generates nothing for this long.
  void Pause(std::chrono::milliseconds aLength);

  void DropCacheEvents();
  void CountRefusal();

  /// The latest reading, up to the settings' lag old.
  [[nodiscard]] EngineLoadReading Load();
  [[nodiscard]] EngineCounters Counters();

  /// Cache events from aFrom on that are old enough to be told. Also the first kept and the next
  /// sequence number.
  [[nodiscard]] std::vector<CacheEvent> CacheEvents(std::int64_t aFrom, std::int64_t& aStart,
                                                    std::int64_t& aEnd);

private:
  using StreamPointer = std::shared_ptr<EngineStream>;
  using Lock = std::unique_lock<std::mutex>;

  /// What one step reads of one prompt.
  struct PrefillShare
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
  [[nodiscard]] StreamPointer LeastUrgentRunning() const;
  void Preempt(const StreamPointer& aStream);
  [[nodiscard]] std::vector<PrefillShare> PlanPrefill() const;

  // Work of a step
  void ReadPrompt(const PrefillShare& aShare);
  void Generate(const StreamPointer& aStream);
  void AppendWord(EngineStream& aStream, std::string_view aWord);
  void PinWholeChain(const StreamPointer& aStream);
  void ReleaseBlocks(EngineStream& aStream);
  void Finish(const StreamPointer& aStream, EngineStream::State aState);
  void Leave(const StreamPointer& aStream);
  void Reap();
  void SampleLoad();

  // Towards the reader
  void Attach(const StreamPointer& aStream, const Reader& aReader);
  void SendFirst(EngineStream& aStream);
  void SendTokens(EngineStream& aStream);
  void SendLast(EngineStream& aStream);

  const EngineSettings settings;
  ComputeLedger& ledger;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  std::chrono::steady_clock::time_point pausedUntil;
  std::chrono::steady_clock::time_point lastStepEnd; ///< Zero after a time with nothing to do.
  std::chrono::steady_clock::time_point nextReap;
  std::chrono::steady_clock::time_point nextSample;
  PrefixCache cache;
  std::map<std::string, StreamPointer> streams; ///< All that are known, by id.
  std::vector<StreamPointer> waiting;           ///< Most urgent first.
  std::vector<StreamPointer> running;
  std::int64_t arrivals = 0;
  EngineCounters counters;
  EngineLoadReading lastLoad;
  std::thread thread;
};

} // namespace lagoonward::standins
