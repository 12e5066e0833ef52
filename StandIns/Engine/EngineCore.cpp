#include "StandIns/Engine/EngineCore.h"

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace lagoonward::standins {

namespace {

using SteadyClock = std::chrono::steady_clock;

/// How often the thread looks round while there is nothing to generate.
constexpr std::chrono::milliseconds kIdleRound{ 50 };

/// How often streams that nobody reads are looked for.
constexpr std::chrono::milliseconds kReapRound{ 500 };

/// The key of the answer's tokens. Resume tokens of another answer lead the engine astray, as they
/// would a model.
std::uint64_t
KeyAfterResume(std::uint64_t aKey, const std::vector<std::string>& aResumeTokens)
{
  for (std::size_t index = 0; index < aResumeTokens.size(); ++index) {
    if (aResumeTokens[index] != TokenText(aKey, static_cast<std::int64_t>(index))) {
      return CombineHashes(aKey, HashBytes(fmt::format("{}", fmt::join(aResumeTokens, ""))));
    }
  }
  return aKey;
}

} // namespace

EngineCore::EngineCore(const EngineSettings& aSettings, ComputeLedger& aLedger)
  : settings(aSettings)
  , ledger(aLedger)
  , cache(aSettings.kvBlocks, aSettings.cacheEventsKept)
  , thread([this] { this->Run(); })
{
}

EngineCore::~EngineCore()
{
  this->Stop();
}

void
EngineCore::Stop()
{
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
EngineCore::Submit(CompletionRequest aRequest, StreamFaults aFaults, const Reader& aReader)
{
  auto stream = std::make_shared<EngineStream>();
  stream->request = std::move(aRequest);
  const auto& request = stream->request;
  const auto key = AnswerKey(request.question);
  stream->key = KeyAfterResume(key, request.resumeTokens);
  stream->length = AnswerLength(key, request.maxTokens);
  if (aFaults.crossed && aFaults.crossed->mode == "first") {
    stream->key = HashBytes("the answer to another question");
  }
  stream->cut = std::move(aFaults.cut);
  stream->crossed = std::move(aFaults.crossed);
  stream->skipped = std::move(aFaults.skipped);
  stream->progress = this->ledger.Of(key);
  stream->chain.push_back(ChainStart(request.question));
  for (const auto word : SplitWords(request.question.prompt)) {
    this->AppendWord(*stream, word);
  }
  for (const auto& token : request.resumeTokens) {
    stream->tokens.push_back(token);
    this->AppendWord(*stream, token);
  }
  stream->sent = static_cast<std::int64_t>(stream->tokens.size());
  {
    const std::lock_guard lock(this->mutex);
    stream->arrival = this->arrivals++;
    stream->id = fmt::format("{}-s{}", this->settings.id, stream->arrival);
    stream->reader = aReader;
    this->streams[stream->id] = stream;
    ++this->counters.accepted;
    this->counters.divergedResumes += !stream->crossed && stream->key != key ? 1 : 0;
    this->counters.promptTokens += stream->position;
    this->SendFirst(*stream);
    this->Enqueue(stream);
    this->changed.notify_all();
  }
  this->Attach(stream, aReader);
}

std::string
EngineCore::Reattach(const std::string& aStreamId, std::int64_t aFrom,
                     const std::string& aAttemptId, const Reader& aReader)
{
  StreamPointer stream;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->streams.find(aStreamId);
    if (found == this->streams.end() || found->second->state == EngineStream::State::Cancelled) {
      return "unknown_stream";
    }
    stream = found->second;
    if (aFrom < 0 || aFrom > static_cast<std::int64_t>(stream->tokens.size())) {
      return "no_such_token";
    }
    if (stream->reader) {
      stream->reader->Abort();
    }
    stream->reader = aReader;
    stream->request.attemptId = aAttemptId;
    stream->sent = aFrom;
    ++this->counters.reattached;
    this->SendFirst(*stream);
    this->SendTokens(*stream);
    if (stream->state == EngineStream::State::Finished) {
      this->SendLast(*stream);
    }
  }
  this->Attach(stream, aReader);
  return {};
}

std::optional<std::int64_t>
EngineCore::Cancel(const std::string& aStreamId)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->streams.find(aStreamId);
  if (found == this->streams.end()) {
    return std::nullopt;
  }
  const auto stream = found->second;
  if (stream->state == EngineStream::State::Waiting ||
      stream->state == EngineStream::State::Running) {
    this->Finish(stream, EngineStream::State::Cancelled);
  }
  return static_cast<std::int64_t>(stream->tokens.size());
}

std::optional<std::vector<std::uint64_t>>
EngineCore::Export(const std::string& aStreamId)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->streams.find(aStreamId);
  if (found == this->streams.end()) {
    return std::nullopt;
  }
  // Only what has been computed: the blocks that the stream holds
  const auto& stream = *found->second;
  const auto begin = stream.chain.begin() + 1;
  return std::vector<std::uint64_t>(begin,
                                    begin + static_cast<std::ptrdiff_t>(stream.pinnedBlocks));
}

std::size_t
EngineCore::Import(const std::vector<std::uint64_t>& aChain)
{
  const std::lock_guard lock(this->mutex);
  std::size_t stored = 0;
  while (stored < aChain.size() && this->cache.Pin(aChain[stored])) {
    ++stored;
  }
  for (std::size_t index = 0; index < stored; ++index) {
    this->cache.Unpin(aChain[index]);
  }
  return stored;
}

void
EngineCore::Pause(std::chrono::milliseconds aLength)
{
  const std::lock_guard lock(this->mutex);
  this->pausedUntil = SteadyClock::now() + aLength;
}

void
EngineCore::DropCacheEvents()
{
  const std::lock_guard lock(this->mutex);
  this->cache.DropEvents();
}

void
EngineCore::CountRefusal()
{
  const std::lock_guard lock(this->mutex);
  ++this->counters.refused;
}

EngineLoadReading
EngineCore::Load()
{
  const std::lock_guard lock(this->mutex);
  return this->lastLoad;
}

EngineCounters
EngineCore::Counters()
{
  const std::lock_guard lock(this->mutex);
  return this->counters;
}

std::vector<CacheEvent>
EngineCore::CacheEvents(std::int64_t aFrom, std::int64_t& aStart, std::int64_t& aEnd)
{
  const std::lock_guard lock(this->mutex);
  const auto latest = SteadyClock::now() - this->settings.cacheEventDelay;
  const auto& events = this->cache.Events();
  aStart = events.empty() ? this->cache.NextSequence() : events.front().sequence;
  aEnd = aStart;
  std::vector<CacheEvent> told;
  for (const auto& event : events) {
    if (event.at > latest) {
      break;
    }
    aEnd = event.sequence + 1;
    if (event.sequence >= aFrom) {
      told.push_back(event);
    }
  }
  return told;
}

void
EngineCore::Run()
{
  Lock lock(this->mutex);
  while (!this->stopping) {
    this->Reap();
    this->SampleLoad();
    this->Admit();
    if (this->running.empty()) {
      this->lastStepEnd = {};
    }
    if (this->running.empty() || SteadyClock::now() < this->pausedUntil) {
      this->changed.wait_for(lock, kIdleRound);
      continue;
    }
    this->Step(lock);
  }
}

void
EngineCore::Step(Lock& aLock)
{
  // A step begins when the last one ended, so that the work of this thread does not slow the batch
  const auto now = SteadyClock::now();
  const auto begin = now - this->lastStepEnd < kIdleRound ? this->lastStepEnd : now;
  // Who takes part is fixed when the step begins
  const auto shares = this->PlanPrefill();
  std::vector<StreamPointer> generating;
  for (const auto& stream : this->running) {
    if (stream->prefillLeft == 0) {
      generating.push_back(stream);
    }
  }
  std::int64_t words = 0;
  for (const auto& share : shares) {
    words += share.words;
  }
  // The step takes as long as the batch is large
  const auto reading =
    std::chrono::microseconds(words * 1'000'000 / this->settings.prefillTokensPerSecond);
  const auto length = this->settings.stepBase + reading +
                      this->settings.stepPerStream * static_cast<std::int64_t>(generating.size());
  this->lastStepEnd = begin + length;
  this->WaitUntil(aLock, this->lastStepEnd);
  if (this->stopping) {
    return;
  }
  // Some may have been cancelled meanwhile
  for (const auto& share : shares) {
    if (share.stream->state == EngineStream::State::Running) {
      this->ReadPrompt(share);
    }
  }
  for (const auto& stream : generating) {
    if (stream->state == EngineStream::State::Running && stream->prefillLeft == 0) {
      this->Generate(stream);
    }
  }
}

void
EngineCore::WaitUntil(Lock& aLock, SteadyClock::time_point aEnd)
{
  this->changed.wait_until(aLock, aEnd, [this] { return this->stopping; });
}

void
EngineCore::ReadPrompt(const PrefillShare& aShare)
{
  auto& stream = *aShare.stream;
  const auto from = std::max<std::int64_t>(0, stream.position - stream.prefillLeft);
  stream.prefillLeft -= aShare.words;
  this->counters.prefillComputed += aShare.words;
  this->counters.recomputed += stream.progress->Compute(from, from + aShare.words);
  if (stream.prefillLeft == 0) {
    this->PinWholeChain(aShare.stream);
  }
}

void
EngineCore::Generate(const StreamPointer& aStream)
{
  auto& stream = *aStream;
  const auto index = static_cast<std::int64_t>(stream.tokens.size());
  if (index < stream.length) {
    stream.tokens.push_back(TokenText(stream.key, index));
    this->AppendWord(stream, stream.tokens.back());
    ++this->counters.generated;
    this->counters.recomputed += stream.progress->Compute(stream.position - 1, stream.position);
    this->SendTokens(stream);
  }
  if (index + 1 >= stream.length) {
    this->Finish(aStream, EngineStream::State::Finished);
    return;
  }
  this->PinWholeChain(aStream);
}

void
EngineCore::AppendWord(EngineStream& aStream, std::string_view aWord)
{
  ++aStream.position;
  aStream.partialBlock.emplace_back(
    aWord.substr(std::min(aWord.size(), aWord.find_first_not_of(' '))));
  if (aStream.partialBlock.size() == kBlockTokens) {
    aStream.chain.push_back(ChainNext(aStream.chain.back(), aStream.partialBlock));
    aStream.partialBlock.clear();
  }
}

void
EngineCore::PinWholeChain(const StreamPointer& aStream)
{
  auto& stream = *aStream;
  while (stream.pinnedBlocks + 1 < stream.chain.size()) {
    if (this->cache.Pin(stream.chain[stream.pinnedBlocks + 1])) {
      ++stream.pinnedBlocks;
      continue;
    }
    // Memory is full: somebody has to wait
    const auto victim = this->LeastUrgentRunning();
    this->Preempt(victim);
    if (victim == aStream) {
      return;
    }
  }
}

void
EngineCore::ReleaseBlocks(EngineStream& aStream)
{
  for (std::size_t index = 0; index < aStream.pinnedBlocks; ++index) {
    this->cache.Unpin(aStream.chain[index + 1]);
  }
  aStream.pinnedBlocks = 0;
}

void
EngineCore::Finish(const StreamPointer& aStream, EngineStream::State aState)
{
  this->Leave(aStream);
  this->ReleaseBlocks(*aStream);
  aStream->state = aState;
  aStream->idleSince = SteadyClock::now();
  auto& counter =
    aState == EngineStream::State::Finished ? this->counters.finished : this->counters.cancelled;
  ++counter;
  this->SendLast(*aStream);
}

void
EngineCore::Reap()
{
  const auto now = SteadyClock::now();
  if (now < this->nextReap) {
    return;
  }
  this->nextReap = now + kReapRound;
  for (auto next = this->streams.begin(); next != this->streams.end();) {
    const auto stream = next->second;
    const bool active = stream->state == EngineStream::State::Waiting ||
                        stream->state == EngineStream::State::Running;
    const auto idle = now - stream->idleSince;
    if (active && !stream->reader && idle > this->settings.orphanTime) {
      this->Finish(stream, EngineStream::State::Cancelled);
    }
    const bool old = !active && idle > this->settings.finishedKept;
    next = old ? this->streams.erase(next) : std::next(next);
  }
}

void
EngineCore::SampleLoad()
{
  const auto now = SteadyClock::now();
  if (now < this->nextSample) {
    return;
  }
  this->nextSample = now + this->settings.loadLag;
  this->lastLoad = { this->waiting.size(), this->running.size(), this->cache.Pinned(),
                     ToUnixMilliseconds(std::chrono::system_clock::now()) };
}

void
EngineCore::Attach(const StreamPointer& aStream, const Reader& aReader)
{
  aReader->OnGone([this, stream = aStream, reader = aReader.get()] {
    const std::lock_guard lock(this->mutex);
    if (stream->reader.get() == reader) {
      stream->reader = nullptr;
      stream->idleSince = SteadyClock::now();
    }
  });
}

} // namespace lagoonward::standins
