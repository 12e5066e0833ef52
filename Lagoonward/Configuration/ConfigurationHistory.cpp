#include "Lagoonward/Configuration/ConfigurationHistory.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace lagoonward {

using Kind = ConfigurationEvent::Kind;

std::string_view
ToString(ConfigurationEvent::Kind aKind)
{
  switch (aKind) {
    case Kind::Accepted:
      return "accepted";
    case Kind::LostRace:
      return "lost race";
    case Kind::SkippedInvalid:
      return "skipped invalid";
    case Kind::CheckpointSeen:
      return "checkpoint seen";
    case Kind::CheckpointDisagrees:
      return "checkpoint disagrees";
    case Kind::GapFound:
      return "gap found";
    case Kind::GapClosed:
      return "gap closed";
    case Kind::PeerAdopted:
      return "peer adopted";
    case Kind::PeerRefused:
      return "peer refused";
  }
  return "unknown";
}

namespace {

/// Most records that are buffered during a gap.
constexpr std::size_t kMaxPending = 1024;

ConfigurationPtr
MakeConfiguration(std::string_view aMarket, Offset aOffset, std::optional<Manifest> aManifest)
{
  if (!aManifest) {
    return nullptr;
  }
  return std::make_shared<const Configuration>(
    Configuration{ std::string(aMarket), aOffset, std::move(*aManifest) });
}

Offset
OffsetOf(const ConfigurationPtr& aConfiguration)
{
  return aConfiguration ? aConfiguration->offset : kNoOffset;
}

} // namespace

ConfigurationHistory::ConfigurationHistory(std::string aMarket)
  : market(std::move(aMarket))
{
}

ConfigurationHistory::Events
ConfigurationHistory::ObserveStart(Offset aStart)
{
  if (aStart <= this->next) {
    return {};
  }
  const auto detail =
    fmt::format("records {} to {} expired before they were read; offset {} stays in force",
                this->next, aStart - 1, this->OffsetInForce());

  // Records buffered before the missing ones are not contiguous with the following ones
  this->pending.clear();
  this->certain = false;
  this->gapEnd = aStart;
  this->next = aStart;
  return { { Kind::GapFound, aStart, {}, detail } };
}

ConfigurationHistory::Events
ConfigurationHistory::Apply(Offset aOffset, std::string_view aData)
{
  if (aOffset < this->next) {
    return {};
  }
  this->next = aOffset + 1;
  JsonFaults faults;
  auto record = ReadConfigurationRecord(aData, this->market, faults);
  Events events;
  if (!record) {
    events = { { Kind::SkippedInvalid, aOffset, {}, DescribeFaults(faults) } };
  } else {
    events = this->certain ? this->Fold(aOffset, std::move(*record))
                           : this->BufferDuringGap(aOffset, std::move(*record));
  }
  if (this->certain) {
    this->certainThrough = this->next;
  }
  return events;
}

ConfigurationHistory::Events
ConfigurationHistory::Fold(Offset aOffset, ConfigurationRecord&& aRecord)
{
  if (aRecord.kind == ConfigurationRecord::Kind::Checkpoint) {
    return { this->FoldCheckpoint(aOffset, aRecord) };
  }
  return { this->FoldManifest(aOffset, std::move(aRecord)) };
}

ConfigurationEvent
ConfigurationHistory::FoldManifest(Offset aOffset, ConfigurationRecord&& aRecord)
{
  if (aRecord.base != this->OffsetInForce()) {
    const auto detail = fmt::format("base is offset {}, but offset {} was in force", aRecord.base,
                                    this->OffsetInForce());
    return { Kind::LostRace, aOffset, aRecord.publisher, detail };
  }
  this->inForce = MakeConfiguration(this->market, aOffset, std::move(aRecord.manifest));
  this->lastChange = aOffset;
  const auto detail = fmt::format("in force, replaces offset {}", aRecord.base);
  return { Kind::Accepted, aOffset, aRecord.publisher, detail };
}

ConfigurationEvent
ConfigurationHistory::FoldCheckpoint(Offset aOffset, const ConfigurationRecord& aRecord)
{
  // A checkpoint from before this reader's last change is not comparable, but must not
  // name an offset later than the one in force
  const bool comparable = aRecord.through > this->lastChange;
  const bool coversLaterRecords = aRecord.through > aOffset;
  const bool agrees = aRecord.of == this->OffsetInForce();
  const bool older = !comparable && aRecord.of < this->OffsetInForce();
  if (coversLaterRecords || !(comparable ? agrees : older)) {
    const auto detail =
      fmt::format("checkpoint has offset {} in force below offset {}, computed offset {}",
                  aRecord.of, aRecord.through, this->OffsetInForce());
    return { Kind::CheckpointDisagrees, aOffset, aRecord.publisher, detail };
  }
  this->newestCheckpoint = std::max(this->newestCheckpoint, aRecord.through);
  return { Kind::CheckpointSeen, aOffset, aRecord.publisher,
           fmt::format("checkpoint of offset {}, covers records below {}", aRecord.of,
                       aRecord.through) };
}

ConfigurationHistory::Events
ConfigurationHistory::BufferDuringGap(Offset aOffset, ConfigurationRecord&& aRecord)
{
  if (aRecord.kind != ConfigurationRecord::Kind::Checkpoint) {
    this->pending.push_back({ aOffset, std::move(aRecord) });
    this->LimitPending();
    return {};
  }
  const RecordId writer = aRecord.publisher;

  // Only a checkpoint that covers all missing records gives the state to resume from
  if (aRecord.through < this->gapEnd) {
    return { { Kind::CheckpointSeen, aOffset, writer,
               "checkpoint does not cover the gap; ignored" } };
  }
  if (aRecord.through > aOffset || aRecord.of < this->OffsetInForce()) {
    return {
      { Kind::CheckpointDisagrees, aOffset, writer,
        "checkpoint covers records after itself or has an older offset in force; ignored" }
    };
  }
  this->newestCheckpoint = std::max(this->newestCheckpoint, aRecord.through);
  Events events{ { Kind::GapClosed, aOffset, writer,
                   fmt::format("by checkpoint of offset {}, covers records below {}", aRecord.of,
                               aRecord.through) } };
  auto resumed = this->Resume(
    aRecord.through, MakeConfiguration(this->market, aRecord.of, std::move(aRecord.manifest)));
  events.insert(events.end(), resumed.begin(), resumed.end());
  return events;
}

void
ConfigurationHistory::LimitPending()
{
  // Dropping a record extends the gap that a checkpoint has to cover
  if (this->pending.size() > kMaxPending) {
    this->gapEnd = this->pending.front().offset + 1;
    this->pending.pop_front();
  }
}

ConfigurationHistory::Events
ConfigurationHistory::Resume(Offset aThrough, ConfigurationPtr aInForce)
{
  this->inForce = std::move(aInForce);
  this->lastChange = this->OffsetInForce();
  this->certain = true;
  std::deque<PendingRecord> buffered;
  buffered.swap(this->pending);
  Events events;
  for (PendingRecord& entry : buffered) {
    if (entry.offset >= aThrough) {
      auto folded = this->Fold(entry.offset, std::move(entry.record));
      events.insert(events.end(), folded.begin(), folded.end());
    }
  }
  this->next = std::max(this->next, aThrough);
  this->certainThrough = this->next;
  return events;
}

ConfigurationHistory::Events
ConfigurationHistory::AdoptFromPeer(const ConfigurationOffer& aOffer)
{
  const Offset offered = OffsetOf(aOffer.configuration);
  const auto refused = [&](std::string_view aReason) {
    return Events{ { Kind::PeerRefused, offered, {}, std::string(aReason) } };
  };
  if (aOffer.configuration && aOffer.configuration->market != this->market) {
    return refused("the peer's state is of another market");
  }
  if (offered < this->OffsetInForce() || aOffer.through <= offered) {
    return refused("the peer's state is older than the offset in force, or inconsistent");
  }

  // During a gap it must cover the missing records, or at least more than the certain state before them
  const bool closesGap = !this->certain && aOffer.through >= this->gapEnd;
  const bool isLater = aOffer.through > (this->certain ? this->next : this->certainThrough);
  if (!closesGap && !isLater) {
    return refused("the peer's state covers no more records than this reader's");
  }
  const auto detail = fmt::format("offset {} in force below offset {}", offered, aOffer.through);
  Events events{ { Kind::PeerAdopted, offered, {}, detail } };
  if (!this->certain && !closesGap) {
    this->inForce = aOffer.configuration;
    this->certainThrough = aOffer.through;
    return events;
  }
  auto resumed = this->Resume(aOffer.through, aOffer.configuration);
  events.insert(events.end(), resumed.begin(), resumed.end());
  return events;
}

const std::string&
ConfigurationHistory::Market() const
{
  return this->market;
}

const ConfigurationPtr&
ConfigurationHistory::InForce() const
{
  return this->inForce;
}

Offset
ConfigurationHistory::OffsetInForce() const
{
  return OffsetOf(this->inForce);
}

Offset
ConfigurationHistory::NextOffset() const
{
  return this->next;
}

bool
ConfigurationHistory::IsCertain() const
{
  return this->certain;
}

Offset
ConfigurationHistory::NewestCheckpoint() const
{
  return this->newestCheckpoint;
}

ConfigurationOffer
ConfigurationHistory::Offer() const
{
  return { this->inForce, this->certainThrough };
}

ConfigurationRecord
ConfigurationHistory::MakeCheckpoint(RecordId aWriter) const
{
  assert(this->certain);
  ConfigurationRecord record;
  record.kind = ConfigurationRecord::Kind::Checkpoint;
  record.of = this->OffsetInForce();
  record.through = this->next;
  record.publisher = std::move(aWriter);
  if (this->inForce) {
    record.manifest = this->inForce->manifest;
  }
  return record;
}

} // namespace lagoonward
