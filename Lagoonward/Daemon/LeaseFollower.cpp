#include "Lagoonward/Daemon/LeaseFollower.h"

#include "Lagoonward/Core/Log.h"

namespace lagoonward {

namespace {

const Log kLog("leadership");

/// Bits of a fencing number below the epoch.
constexpr int kOffsetBits = 32;

} // namespace

LeaseFollower::LeaseFollower(const FleetManagerSettings& aSettings, std::string aMarket,
                             const std::string& aRegion, std::string aDaemonId,
                             std::string aIncarnation, LogService& aLog, const Clock& aClock)
  : settings(aSettings)
  , market(std::move(aMarket))
  , stream(LeaseStreamName(this->market, aRegion))
  , daemonId(std::move(aDaemonId))
  , incarnation(std::move(aIncarnation))
  , log(aLog)
  , clock(aClock)
  , leaseManager(
      std::make_unique<LeaseManager>(aSettings.lease, aClock, this->daemonId, this->incarnation))
  , otherLeaderSeenAt(aClock.BootNow())
{
}

Milliseconds
LeaseFollower::Step(int aRank, Offset aAnnouncedFencing, std::int64_t aKnownEpoch)
{
  const bool isCandidate = aRank < this->settings.lease.candidates;
  Offset next = 0;
  bool isHolder = false;
  std::optional<std::string> record;
  {
    const std::lock_guard lock(this->mutex);
    this->leaseManager->SetRank(aRank);
    next = this->leaseManager->NextOffset();
    isHolder = this->leaseManager->Holds();
    const bool isRestored = this->epoch && aKnownEpoch > *this->epoch;
    this->mustRead = this->mustRead || isRestored;
    if (!isHolder && !isRestored && this->IsCurrentTenure(aAnnouncedFencing)) {
      this->otherLeaderSeenAt = this->clock.BootNow();
      return this->settings.leaderAnnouncedPause;
    }
    if (isHolder && !this->mustRead) {
      record = this->leaseManager->NextAppend();
    }
  }
  // A holder renews without reading: its append counts as read where no other record stands before it
  if (isHolder && !this->mustRead) {
    this->mustRead = record && !this->Append(*record);
    return this->mustRead ? Milliseconds(0) : this->settings.leaseRenewalCheckInterval;
  }

  const bool blocks = isCandidate && !this->mustRead;
  const auto page = this->log.Read(this->stream, next, this->settings.leasePage,
                                   blocks ? this->settings.leaseReadWait : Milliseconds(0));
  if (page.has_value() != this->logResponds) {
    this->logResponds = page.has_value();
    kLog.Warning("Market {}: the log {} to reads of the lease stream.", this->market,
                 this->logResponds ? "responds again" : "does not respond");
  }
  if (!page) {
    const std::lock_guard lock(this->mutex);
    this->LogChanges();
    return this->settings.leaseRetryPause;
  }
  {
    const std::lock_guard lock(this->mutex);
    if (this->IsOtherHistory(page.value())) {
      this->BeginEpoch(page.value());
      return Milliseconds(0);
    }
    // A log that was ever restored may have been so just now
    if (!this->epoch && page.value().epoch > 0) {
      this->leaseManager->BeginEpoch(page.value().epoch);
    }
    this->epoch = page.value().epoch;
  }
  this->mustRead = false;

  // An append takes effect once it is read back, whatever its response was
  {
    const std::lock_guard lock(this->mutex);
    this->ApplyPage(page.value());
    record = this->leaseManager->NextAppend();
  }
  if (record) {
    this->mustRead = !this->Append(*record);
  }
  if (record || !page.value().records.empty()) {
    return Milliseconds(0);
  }
  return isCandidate ? this->settings.leaseIdlePause : this->settings.nonCandidateReadInterval;
}

bool
LeaseFollower::Append(const std::string& aRecord)
{
  const auto position = this->log.Append(this->stream, aRecord);
  if (!position) {
    kLog.Debug("Market {}: no response to an append to the lease stream; reads it back.",
               this->market);
    return false;
  }
  const std::lock_guard lock(this->mutex);
  const Offset offset = position.value().offset;
  if (offset != this->leaseManager->NextOffset() || position.value().epoch != this->epoch) {
    return false;
  }
  LogPage page;
  page.start = offset;
  page.end = offset + 1;
  page.records.push_back({ offset, aRecord });
  this->ApplyPage(page);
  return true;
}

bool
LeaseFollower::IsOtherHistory(const LogPage& aPage) const
{
  const Offset next = this->leaseManager->NextOffset();
  // Without the log's epochs only an end that has gone back shows it
  const bool isShorter = aPage.end < next && aPage.start <= next;
  return this->epoch && (aPage.epoch != *this->epoch || isShorter);
}

void
LeaseFollower::BeginEpoch(const LogPage& aPage)
{
  kLog.Event(LogLevel::Warning, "lease_log_restored",
             { { "epoch", aPage.epoch },
               { "epoch_before", *this->epoch },
               { "read_before", this->leaseManager->NextOffset() },
               { "held", this->leaseManager->Holds() } });
  this->epoch = aPage.epoch;
  this->ledger = {};
  this->RestartCandidacy();
  this->leaseManager->BeginEpoch(aPage.epoch);
  if (this->resigned) {
    this->leaseManager->Resign();
  }
  // Whoever led before the restore may not know of it yet
  this->otherLeaderSeenAt = this->clock.BootNow();
}

Offset
LeaseFollower::FencingNumberOf(Offset aTenure) const
{
  return aTenure == kNoOffset ? kNoOffset : (this->epoch.value_or(0) << kOffsetBits) + aTenure;
}

bool
LeaseFollower::IsCurrentTenure(Offset aAnnouncedFencing) const
{
  const LeaseInForce* current = this->ledger.InForce();
  return aAnnouncedFencing != kNoOffset &&

         (current == nullptr || aAnnouncedFencing >= this->FencingNumberOf(current->fencing)) &&
         !this->resigned;
}

void
LeaseFollower::ApplyPage(const LogPage& aPage)
{
  this->leaseManager->ObservePage(aPage);
  this->ledger.ObserveStart(aPage.start);
  const LeaseInForce* previous = this->ledger.InForce();
  // Records the current leader and each one that led and resigned within this page
  if (previous == nullptr || previous->record.duration > Milliseconds::zero()) {
    this->RecordOtherLeader();
  }
  for (const LogRecord& record : aPage.records) {
    this->ledger.Apply(record.offset, record.data);
    this->RecordOtherLeader();
  }
  this->LogChanges();
  if (this->abandoning && !this->resigned && !this->IsOwnTenure()) {
    this->RestartCandidacy();
  }
}

void
LeaseFollower::RecordOtherLeader()
{
  const LeaseInForce* current = this->ledger.InForce();
  const bool isOtherLeader = current != nullptr && current->record.holder != this->daemonId;
  if (isOtherLeader || !this->ledger.IsCertain()) {
    this->otherLeaderSeenAt = this->clock.BootNow();
  }
}

/// Begins a new candidacy. A LeaseManager that has resigned is no candidate any more, so a new one replaces it.
void
LeaseFollower::RestartCandidacy()
{
  this->abandoning = false;
  ++this->candidacies;
  this->leaseManager = std::make_unique<LeaseManager>(this->settings.lease, this->clock,
                                                      this->daemonId, this->IncarnationName());
}

std::string
LeaseFollower::IncarnationName() const
{
  return this->candidacies == 0 ? this->incarnation
                                : fmt::format("{}.{}", this->incarnation, this->candidacies);
}

bool
LeaseFollower::IsOwnTenure() const
{
  const LeaseInForce* current = this->ledger.InForce();
  return current != nullptr && current->record.duration > Milliseconds::zero() &&
         current->record.writer.incarnation == this->IncarnationName();
}

void
LeaseFollower::LogChanges()
{
  LeaseStatus status;
  const LeaseInForce* current = this->ledger.InForce();
  status.holder = this->leaseManager->Leader();
  status.held = this->leaseManager->Holds();
  status.fencing = this->FencingNumberOf(current == nullptr ? kNoOffset : current->fencing);
  if (status.holder != this->lastLogged.holder || status.fencing != this->lastLogged.fencing) {
    kLog.Info("Market {}: {} leads with fencing number {}.", this->market,
              status.holder.empty() ? "nobody" : status.holder, status.fencing);
  }
  if (status.held != this->lastLogged.held) {
    kLog.Info("Market {}: this daemon {} the lease.", this->market,
              status.held ? "holds" : "no longer holds");
  }
  this->lastLogged = std::move(status);
}

Result<OrderGrant>
LeaseFollower::Authorize(OrderKind aKind, bool aChecksFencing) const
{
  const std::lock_guard lock(this->mutex);
  auto grant = this->leaseManager->Authorize(aKind, aChecksFencing);
  if (grant) {
    grant.value().fencing = this->FencingNumberOf(grant.value().fencing);
  }
  return grant;
}

void
LeaseFollower::Resign()
{
  const std::lock_guard lock(this->mutex);
  this->resigned = true;
  this->leaseManager->Resign();
}

void
LeaseFollower::Abandon(Offset aFencing)
{
  const std::lock_guard lock(this->mutex);
  const LeaseInForce* current = this->ledger.InForce();
  if (current == nullptr || this->FencingNumberOf(current->fencing) != aFencing ||
      !this->IsOwnTenure()) {
    return;
  }
  kLog.Warning(
    "Market {}: an endpoint has seen a fencing number newer than {}; resigns this tenure.",
    this->market, aFencing);
  this->abandoning = true;
  this->leaseManager->Resign();
}

TimePoint
LeaseFollower::OtherLeaderSeenAt() const
{
  const std::lock_guard lock(this->mutex);
  return this->otherLeaderSeenAt;
}

LeaseStatus
LeaseFollower::Status() const
{
  const std::lock_guard lock(this->mutex);
  const LeaseInForce* current = this->ledger.InForce();
  LeaseStatus status;
  status.market = this->market;
  status.holder = this->leaseManager->Leader();
  status.held = this->leaseManager->Holds();
  status.fencing = this->FencingNumberOf(current == nullptr ? kNoOffset : current->fencing);
  return status;
}

} // namespace lagoonward
