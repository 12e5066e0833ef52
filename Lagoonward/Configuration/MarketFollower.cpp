#include "Lagoonward/Configuration/MarketFollower.h"

#include "Lagoonward/Core/Hash.h"
#include "Lagoonward/Core/Log.h"

namespace lagoonward {

namespace {

using Kind = ConfigurationEvent::Kind;

const Log kLog("configuration");

/// Whether the event is logged as a warning.
bool
IsWarning(Kind aKind)
{
  return aKind == Kind::SkippedInvalid || aKind == Kind::CheckpointDisagrees ||
         aKind == Kind::GapFound;
}

} // namespace

MarketFollower::MarketFollower(std::string aMarket, const ConfigurationFollowerSettings& aSettings,
                               const ConfigurationFollowerHooks& aHooks, LogService& aLog,
                               const Clock& aClock)
  : market(std::move(aMarket))
  , settings(aSettings)
  , hooks(aHooks)
  , log(aLog)
  , clock(aClock)
  , backoff(aSettings.backoff, HashBytes(aHooks.incarnation, HashBytes(this->market)))
  , checkpointSeen(aClock.Now())
  , random(HashBytes(this->market, HashBytes(aHooks.incarnation)))
  , history(this->market)
{
  this->status.market = this->market;
}

Milliseconds
MarketFollower::Step()
{
  if (this->NeedsPeers()) {
    this->QueryPeers();
  }

  // Use the long poll only once the configuration in force is known. Until then peers are queried again soon
  const auto state = this->Status();
  const bool isKnown = state.offset != kNoOffset && state.certain;
  const auto wait = isKnown ? this->settings.pollWait
                            : std::min(this->settings.pollWait, this->settings.peerInterval);
  const auto page = this->log.Read(ConfigurationStream(this->market), state.nextOffset,
                                   this->settings.pageLimit, wait);
  this->SetLogReachable(page.has_value());
  if (!page) {
    const auto delay = this->backoff.Next(page.error());
    kLog.Warning(
      "market {}: reading the log failed ({}); offset {} stays in force, next attempt in {} ms.",
      this->market, page.error().message, state.offset, delay.count());
    return delay;
  }
  this->backoff.Reset();
  this->Fold(page.value());
  this->WriteCheckpointIfDue(page.value());
  return page.value().records.empty() ? this->settings.idlePause : Milliseconds(0);
}

void
MarketFollower::Adopt(const ConfigurationOffer& aOffer)
{
  const std::lock_guard lock(this->foldMutex);
  this->Report(this->history.AdoptFromPeer(aOffer));
  this->PublishChange();
}

ConfigurationPtr
MarketFollower::Current() const
{
  const std::lock_guard lock(this->stateMutex);
  return this->offer.configuration;
}

ConfigurationOffer
MarketFollower::Offer() const
{
  const std::lock_guard lock(this->stateMutex);
  return this->offer;
}

MarketStatus
MarketFollower::Status() const
{
  const std::lock_guard lock(this->stateMutex);
  return this->status;
}

bool
MarketFollower::NeedsPeers() const
{
  if (!this->hooks.queryPeers) {
    return false;
  }
  const auto now = this->clock.Now();
  if (this->lastPeerQuery && now - *this->lastPeerQuery < this->settings.peerInterval) {
    return false;
  }
  const auto state = this->Status();
  return state.offset == kNoOffset || !state.certain;
}

void
MarketFollower::QueryPeers()
{
  this->lastPeerQuery = this->clock.Now();
  for (const auto& peerOffer : this->hooks.queryPeers(this->market)) {
    this->Adopt(peerOffer);
  }
}

void
MarketFollower::Fold(const LogPage& aPage)
{
  const std::lock_guard lock(this->foldMutex);
  const Offset checkpointBefore = this->history.NewestCheckpoint();
  if (aPage.end < this->history.NextOffset()) {
    kLog.Error("market {}: the log ends at offset {}, but offset {} was read before; offset {} "
               "stays in force.",
               this->market, aPage.end, this->history.NextOffset() - 1,
               this->history.OffsetInForce());
  }
  this->Report(this->history.ObserveStart(aPage.start));
  for (const LogRecord& record : aPage.records) {
    this->Report(this->history.Apply(record.offset, record.data));
  }
  if (this->history.NewestCheckpoint() != checkpointBefore) {
    this->checkpointSeen = this->clock.Now();
  }
  this->PublishChange();
}

void
MarketFollower::Report(const ConfigurationHistory::Events& aEvents) const
{
  for (const auto& event : aEvents) {
    const auto level = IsWarning(event.kind) ? LogLevel::Warning : LogLevel::Info;
    if (level == LogLevel::Warning) {
      kLog.Warning("market {}: {} at offset {} by {}: {}.", this->market, ToString(event.kind),
                   event.offset, ToString(event.publisher), event.detail);
    } else {
      kLog.Info("market {}: {} at offset {} by {}: {}.", this->market, ToString(event.kind),
                event.offset, ToString(event.publisher), event.detail);
    }
  }
}

void
MarketFollower::PublishChange()
{
  bool changed = false;
  {
    const std::lock_guard lock(this->stateMutex);
    changed = this->status.offset != this->history.OffsetInForce();
    this->offer = this->history.Offer();
    this->status.offset = this->history.OffsetInForce();
    this->status.nextOffset = this->history.NextOffset();
    this->status.certain = this->history.IsCertain();
    this->status.newestCheckpoint = this->history.NewestCheckpoint();
  }
  if (changed && this->hooks.onChange) {
    this->hooks.onChange(this->history.InForce());
  }
}

void
MarketFollower::WriteCheckpointIfDue(const LogPage& aPage)
{
  const auto state = this->Status();
  const bool caughtUp = state.certain && state.nextOffset == aPage.end && state.nextOffset > 0;
  if (!caughtUp || !this->CheckpointIsDue(aPage.start)) {
    return;
  }

  // Wait a full interval again even if the append fails: another daemon then notices the missing checkpoint
  this->checkpointSeen = this->clock.Now();
  std::uniform_int_distribution<Milliseconds::rep> distribution(
    0, this->settings.checkpointGrace.count());
  this->checkpointJitter = Milliseconds(distribution(this->random));
  std::string text;
  {
    const std::lock_guard lock(this->foldMutex);
    text = WriteConfigurationRecord(
      this->history.MakeCheckpoint({ this->hooks.incarnation, this->nextSequence++ }));
  }
  const auto appended = this->log.Append(ConfigurationStream(this->market), text);
  if (appended) {
    kLog.Info("market {}: wrote the checkpoint of offset {} at offset {}.", this->market,
              state.offset, appended.value().offset);
  } else {
    kLog.Warning("market {}: writing the checkpoint failed, it may be missing: {}.", this->market,
                 appended.error().message);
  }
}

bool
MarketFollower::CheckpointIsDue(Offset aStart) const
{
  const auto state = this->Status();
  const auto rankDelay =
    this->settings.checkpointGrace * this->CheckpointRank() + this->checkpointJitter;

  // A new reader cannot use a checkpoint that does not cover all expired records
  const bool expired = aStart > 0 && state.newestCheckpoint < aStart;
  const auto age = this->clock.Now() - this->checkpointSeen;
  return age >= (expired ? rankDelay : this->settings.checkpointInterval + rankDelay);
}

std::size_t
MarketFollower::CheckpointRank() const
{
  if (!this->hooks.liveDaemons) {
    return 0;
  }
  const auto key = HashBytes(this->market);
  const auto own = RendezvousWeight(key, HashBytes(this->hooks.daemonId));
  std::size_t rank = 0;
  for (const std::string& daemon : this->hooks.liveDaemons()) {
    rank += RendezvousWeight(key, HashBytes(daemon)) > own ? 1 : 0;
  }
  return rank;
}

void
MarketFollower::SetLogReachable(bool aReachable)
{
  const std::lock_guard lock(this->stateMutex);
  this->status.logReachable = aReachable;
}

} // namespace lagoonward
