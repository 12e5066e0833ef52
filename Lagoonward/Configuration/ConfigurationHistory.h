#pragma once

#include "Lagoonward/Configuration/Configuration.h"
#include "Lagoonward/Configuration/ConfigurationRecord.h"

#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace lagoonward {

/// A result of one step of a ConfigurationHistory. Each is logged as one line.
struct ConfigurationEvent
{
  enum class Kind
  {
    Accepted,            ///< The record is in force from this offset on.
    LostRace,            ///< Valid, but its base is not the offset in force.
    SkippedInvalid,      ///< Not a valid record. Every reader skips it.
    CheckpointSeen,      ///< Consistent with the state of this reader, or not comparable to it.
    CheckpointDisagrees, ///< Contradicts the state that this reader computed. Ignored.
    GapFound,            ///< Records expired unread; the configuration in force is uncertain.
    GapClosed,           ///< A checkpoint gave the state that the expired records led to.
    PeerAdopted,         ///< A later state of a peer was adopted.
    PeerRefused,         ///< A peer's state was older or contradictory. Ignored.
  };

  Kind kind = Kind::Accepted;
  Offset offset = kNoOffset; ///< Of the record; for a gap, the oldest retained offset.
  RecordId publisher;        ///< Writer of the record, if it could be read.
  std::string detail;        ///< The reason, in one short sentence.
};

/// The name of a kind, for log lines.
[[nodiscard]] std::string_view
ToString(ConfigurationEvent::Kind aKind);

/// Folds the records of one stream `config/MARKET` into the configuration in force. Deterministic: the
/// same records give the same result on every reader, whatever offset it started at, and the offset in
/// force never decreases. The rules and their reasons are in docs/design/configuration-order.md.
///
/// For each page the caller calls ObserveStart() with the oldest retained offset, then Apply() for each
/// record in order, and continues to read at NextOffset(). Not thread-safe.
class ConfigurationHistory
{
public:
  explicit ConfigurationHistory(std::string aMarket);

  using Events = std::vector<ConfigurationEvent>;

  /// Takes the oldest offset that the log retains. If it is greater than NextOffset(), there is a gap.
  [[nodiscard]] Events ObserveStart(Offset aStart);

  /// Folds one record. A record that was read before is ignored.
  [[nodiscard]] Events Apply(Offset aOffset, std::string_view aData);

  /// Adopts a peer's state if it covers more records than this reader's own. An older state has no effect.
  [[nodiscard]] Events AdoptFromPeer(const ConfigurationOffer& aOffer);

  [[nodiscard]] const std::string& Market() const;

  /// The configuration in force, or nullptr. During a gap: the last known one.
  [[nodiscard]] const ConfigurationPtr& InForce() const;

  /// Offset in force, or kNoOffset.
  [[nodiscard]] Offset OffsetInForce() const;

  /// First offset not yet read.
  [[nodiscard]] Offset NextOffset() const;

  /// Whether the configuration in force at NextOffset() is known. False during a gap.
  [[nodiscard]] bool IsCertain() const;

  /// `through` of the newest checkpoint read that is consistent with this reader, or kNoOffset.
  [[nodiscard]] Offset NewestCheckpoint() const;

  /// The state to send to peers. During a gap it is the state before the gap.
  [[nodiscard]] ConfigurationOffer Offer() const;

  /// A checkpoint of the current state. Requires IsCertain().
  [[nodiscard]] ConfigurationRecord MakeCheckpoint(RecordId aWriter) const;

private:
  /// A record read during a gap, buffered until a checkpoint or a peer gives the state to resume from.
  struct PendingRecord
  {
    Offset offset = kNoOffset;
    ConfigurationRecord record;
  };

  Events Fold(Offset aOffset, ConfigurationRecord&& aRecord);
  ConfigurationEvent FoldManifest(Offset aOffset, ConfigurationRecord&& aRecord);
  ConfigurationEvent FoldCheckpoint(Offset aOffset, const ConfigurationRecord& aRecord);
  Events BufferDuringGap(Offset aOffset, ConfigurationRecord&& aRecord);

  /// Drops the oldest buffered record if there are more than kMaxPending.
  void LimitPending();

  /// Ends a gap: sets the state at aThrough and folds the buffered records from that offset on.
  Events Resume(Offset aThrough, ConfigurationPtr aInForce);

  std::string market;
  ConfigurationPtr inForce;
  Offset next = 0;               ///< First offset not yet read.
  Offset certainThrough = 0;     ///< Offset up to which the state was last certain.
  Offset gapEnd = 0;             ///< During a gap: first offset after the missing records.
  bool certain = true;           ///< False during a gap.
  Offset lastChange = kNoOffset; ///< Offset of the last change that this reader has seen.
  Offset newestCheckpoint = kNoOffset;
  std::deque<PendingRecord> pending; ///< Read during a gap, in order.
};

} // namespace lagoonward
