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

/// Most records that are held during a gap.
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
  const auto detail = fmt::format("records {} to {} lapsed unread, {} stays in force", this->next,
                                  aStart - 1, this->OffsetInForce());

  // Records held from before the hole can no longer be joined to what follows
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
                           : this->Hold(aOffset, std::move(*record));
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
    const auto detail =
      fmt::format("built on {}, but {} was in force", aRecord.base, this->OffsetInForce());
    return { Kind::LostRace, aOffset, aRecord.publisher, detail };
  }
  this->inForce = MakeConfiguration(this->market, aOffset, std::move(aRecord.manifest));
  this->lastChange = aOffset;
  const auto detail = fmt::format("in force in place of {}", aRecord.base);
  return { Kind::Accepted, aOffset, aRecord.publisher, detail };
}

ConfigurationEvent
ConfigurationHistory::FoldCheckpoint(Offset aOffset, const ConfigurationRecord& aRecord)
{
  // What it says of a moment before our last change can't be compared, unless it contradicts order
  const bool comparable = aRecord.through > this->lastChange;
  const bool fromFuture = aRecord.through > aOffset;
  const bool agrees = aRecord.of == this->OffsetInForce();
  const bool older = !comparable && aRecord.of < this->OffsetInForce();
  if (fromFuture || !(comparable ? agrees : older)) {
    const auto detail = fmt::format("says {} was in force below {}, computed {}", aRecord.of,
                                    aRecord.through, this->OffsetInForce());
    return { Kind::CheckpointDisagrees, aOffset, aRecord.publisher, detail };
  }
  this->newestCheckpoint = std::max(this->newestCheckpoint, aRecord.through);
  return { Kind::CheckpointSeen, aOffset, aRecord.publisher,
           fmt::format("of {} below {}", aRecord.of, aRecord.through) };
}

ConfigurationHistory::Events
ConfigurationHistory::Hold(Offset aOffset, ConfigurationRecord&& aRecord)
{
  if (aRecord.kind != ConfigurationRecord::Kind::Checkpoint) {
    this->pending.push_back({ aOffset, std::move(aRecord) });
    this->BoundPending();
    return {};
  }
  const RecordId writer = aRecord.publisher;

  // Only a checkpoint that covers the whole hole tells where to resume
  if (aRecord.through < this->gapEnd) {
    return { { Kind::CheckpointSeen, aOffset, writer, "too old to close the gap" } };
  }
  if (aRecord.through > aOffset || aRecord.of < this->OffsetInForce()) {
    return { { Kind::CheckpointDisagrees, aOffset, writer, "would take the offset back" } };
  }
  this->newestCheckpoint = std::max(this->newestCheckpoint, aRecord.through);
  Events events{ { Kind::GapClosed, aOffset, writer,
                   fmt::format("checkpoint of {} below {}", aRecord.of, aRecord.through) } };
  auto resumed = this->Resume(
    aRecord.through, MakeConfiguration(this->market, aRecord.of, std::move(aRecord.manifest)));
  events.insert(events.end(), resumed.begin(), resumed.end());
  return events;
}

void
ConfigurationHistory::BoundPending()
{
  // A record that is dropped lengthens the hole, which a checkpoint then has to cover
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
  std::deque<PendingRecord> held;
  held.swap(this->pending);
  Events events;
  for (PendingRecord& entry : held) {
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
  const auto refuse = [&](std::string_view aReason) {
    return Events{ { Kind::PeerRefused, offered, {}, std::string(aReason) } };
  };
  if (aOffer.configuration && aOffer.configuration->market != this->market) {
    return refuse("another market");
  }
  if (offered < this->OffsetInForce() || aOffer.through <= offered) {
    return refuse("older than what is in force");
  }

  // During a gap it must cover the hole, or at least reach further than what was certain before it
  const bool closesGap = !this->certain && aOffer.through >= this->gapEnd;
  const bool isLater = aOffer.through > (this->certain ? this->next : this->certainThrough);
  if (!closesGap && !isLater) {
    return refuse("reaches no further than this reader");
  }
  const auto detail = fmt::format("{} in force below {}", offered, aOffer.through);
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
