#include "StandIns/Engine/EngineCore.h"

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/Hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace lagoonward::standins {

namespace {

using SteadyClock = std::chrono::steady_clock;

/// Poll interval of the thread while no stream is running or the engine is paused.
constexpr std::chrono::milliseconds kIdlePollInterval{ 50 };

/// Interval between checks for streams without a reader and for ended streams past their retention.
constexpr std::chrono::milliseconds kExpiryCheckInterval{ 500 };

/// The key from which the answer's tokens are derived. Resume tokens of another answer change the key,
/// because a model would continue from them with different text.
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
  , cache(aSettings.kvBlocks, aSettings.maxCacheEvents)
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
  stream->answerKey = KeyAfterResume(key, request.resumeTokens);
  stream->answerLength = AnswerLength(key, request.maxTokens);
  if (aFaults.crossed && aFaults.crossed->mode == "first") {
    stream->answerKey = HashBytes("the answer to another question");
  }
  stream->cut = std::move(aFaults.cut);
  stream->crossed = std::move(aFaults.crossed);
  stream->skipped = std::move(aFaults.skipped);
  stream->progress = this->ledger.ProgressFor(key);
  stream->chain.push_back(InitialChainHash(request.question));
  for (const auto word : SplitWords(request.question.prompt)) {
    this->AppendWord(*stream, word);
  }
  for (const auto& token : request.resumeTokens) {
    stream->tokens.push_back(token);
    this->AppendWord(*stream, token);
  }
  stream->nextToSend = static_cast<std::int64_t>(stream->tokens.size());
  {
    const std::lock_guard lock(this->mutex);
    stream->arrival = this->arrivals++;
    stream->id = fmt::format("{}-s{}", this->settings.id, stream->arrival);
    stream->reader = aReader;
    this->streams[stream->id] = stream;
    ++this->counters.accepted;
    this->counters.divergedResumes += !stream->crossed && stream->answerKey != key ? 1 : 0;
    this->counters.promptTokens += stream->position;
    this->SendFirst(*stream);
    this->Enqueue(stream);
    this->changed.notify_all();
  }
  this->WatchReader(stream, aReader);
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
    stream->nextToSend = aFrom;
    ++this->counters.reattached;
    this->SendFirst(*stream);
    this->SendTokens(*stream);
    if (stream->state == EngineStream::State::Finished) {
      this->SendLast(*stream);
    }
  }
  this->WatchReader(stream, aReader);
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
  // Export only computed blocks, which are those that the stream has pinned
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

EngineLoadSample
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
  std::vector<CacheEvent> published;
  for (const auto& event : events) {
    if (event.at > latest) {
      break;
    }
    aEnd = event.sequence + 1;
    if (event.sequence >= aFrom) {
      published.push_back(event);
    }
  }
  return published;
}

void
EngineCore::Run()
{
  Lock lock(this->mutex);
  while (!this->stopping) {
    this->RemoveExpiredStreams();
    this->SampleLoad();
    this->Admit();
    if (this->running.empty()) {
      this->lastStepEnd = {};
    }
    if (this->running.empty() || SteadyClock::now() < this->pausedUntil) {
      this->changed.wait_for(lock, kIdlePollInterval);
      continue;
    }
    this->Step(lock);
  }
}

void
EngineCore::Step(Lock& aLock)
{
  // A step starts at the end of the previous one, so that the overhead of this thread does not slow the batch
  const auto now = SteadyClock::now();
  const auto begin = now - this->lastStepEnd < kIdlePollInterval ? this->lastStepEnd : now;
  // The participating streams are determined at the start of the step
  const auto slices = this->PlanPrefill();
  std::vector<StreamPointer> generating;
  for (const auto& stream : this->running) {
    if (stream->prefillLeft == 0) {
      generating.push_back(stream);
    }
  }
  std::int64_t words = 0;
  for (const auto& slice : slices) {
    words += slice.words;
  }
  // The duration of the step depends on the batch size and the prefilled tokens
  const auto prefillTime =
    std::chrono::microseconds(words * 1'000'000 / this->settings.prefillTokensPerSecond);
  const auto length = this->settings.stepBase + prefillTime +
                      this->settings.stepPerStream * static_cast<std::int64_t>(generating.size());
  this->lastStepEnd = begin + length;
  this->WaitUntil(aLock, this->lastStepEnd);
  if (this->stopping) {
    return;
  }
  // Streams may have been cancelled while the step waited
  for (const auto& slice : slices) {
    if (slice.stream->state == EngineStream::State::Running) {
      this->Prefill(slice);
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
EngineCore::Prefill(const PrefillSlice& aSlice)
{
  auto& stream = *aSlice.stream;
  const auto from = std::max<std::int64_t>(0, stream.position - stream.prefillLeft);
  stream.prefillLeft -= aSlice.words;
  this->counters.prefillComputed += aSlice.words;
  this->counters.recomputed += stream.progress->MarkComputed(from, from + aSlice.words);
  if (stream.prefillLeft == 0) {
    this->PinCompleteBlocks(aSlice.stream);
  }
}

void
EngineCore::Generate(const StreamPointer& aStream)
{
  auto& stream = *aStream;
  const auto index = static_cast<std::int64_t>(stream.tokens.size());
  if (index < stream.answerLength) {
    stream.tokens.push_back(TokenText(stream.answerKey, index));
    this->AppendWord(stream, stream.tokens.back());
    ++this->counters.generated;
    this->counters.recomputed +=
      stream.progress->MarkComputed(stream.position - 1, stream.position);
    this->SendTokens(stream);
  }
  if (index + 1 >= stream.answerLength) {
    this->Finish(aStream, EngineStream::State::Finished);
    return;
  }
  this->PinCompleteBlocks(aStream);
}

void
EngineCore::AppendWord(EngineStream& aStream, std::string_view aWord)
{
  ++aStream.position;
  aStream.partialBlock.emplace_back(
    aWord.substr(std::min(aWord.size(), aWord.find_first_not_of(' '))));
  if (aStream.partialBlock.size() == kBlockTokens) {
    aStream.chain.push_back(NextChainHash(aStream.chain.back(), aStream.partialBlock));
    aStream.partialBlock.clear();
  }
}

void
EngineCore::PinCompleteBlocks(const StreamPointer& aStream)
{
  auto& stream = *aStream;
  while (stream.pinnedBlocks + 1 < stream.chain.size()) {
    if (this->cache.Pin(stream.chain[stream.pinnedBlocks + 1])) {
      ++stream.pinnedBlocks;
      continue;
    }
    // All KV memory is pinned: preempt the stream of lowest priority
    const auto victim = this->LowestPriorityRunning();
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
  this->Unschedule(aStream);
  this->ReleaseBlocks(*aStream);
  aStream->state = aState;
  aStream->idleSince = SteadyClock::now();
  auto& counter =
    aState == EngineStream::State::Finished ? this->counters.finished : this->counters.cancelled;
  ++counter;
  this->SendLast(*aStream);
}

void
EngineCore::RemoveExpiredStreams()
{
  const auto now = SteadyClock::now();
  if (now < this->nextExpiryCheck) {
    return;
  }
  this->nextExpiryCheck = now + kExpiryCheckInterval;
  for (auto next = this->streams.begin(); next != this->streams.end();) {
    const auto stream = next->second;
    const bool active = stream->state == EngineStream::State::Waiting ||
                        stream->state == EngineStream::State::Running;
    const auto idle = now - stream->idleSince;
    if (active && !stream->reader && idle > this->settings.orphanTimeout) {
      this->Finish(stream, EngineStream::State::Cancelled);
    }
    const bool expired = !active && idle > this->settings.finishedRetention;
    next = expired ? this->streams.erase(next) : std::next(next);
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
EngineCore::WatchReader(const StreamPointer& aStream, const Reader& aReader)
{
  aReader->OnDisconnected([this, stream = aStream, reader = aReader.get()] {
    const std::lock_guard lock(this->mutex);
    if (stream->reader.get() == reader) {
      stream->reader = nullptr;
      stream->idleSince = SteadyClock::now();
    }
  });
}

} // namespace lagoonward::standins
