#pragma once

#include "Lagoonward/Configuration/Configuration.h"
#include "Lagoonward/Configuration/ConfigurationRecord.h"

#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace lagoonward {

/// What one step of a ConfigurationHistory found. Each becomes one log line.
struct ConfigurationEvent
{
  enum class Kind
  {
    Accepted,            ///< The record is in force from here on.
    LostRace,            ///< Valid, but its base is not what was in force.
    SkippedInvalid,      ///< Not a valid record; every reader skips it.
    CheckpointSeen,      ///< Agrees with what this reader knows, or says nothing about it.
    CheckpointDisagrees, ///< Contradicts what this reader computed; ignored.
    GapFound,            ///< Records lapsed unread; what is in force is not known for certain.
    GapClosed,           ///< A checkpoint or a peer told what the lapsed records had settled.
    PeerAdopted,         ///< A peer's later state was taken.
    PeerRefused,         ///< A peer's state was older or contradictory.
  };

  Kind kind = Kind::Accepted;
  Offset offset = kNoOffset; ///< Of the record concerned; of the first kept one for a gap.
  RecordId publisher;        ///< Who wrote it, where that could be read.
  std::string detail;        ///< One short sentence with the reason.
};

/// Name of a kind, for log lines.
[[nodiscard]] std::string_view
ToString(ConfigurationEvent::Kind aKind);

/// Folds the records of one stream `config/MARKET` into what is in force. Pure: the same records give
/// the same result on every reader, wherever it began to read, and the offset in force never goes
/// down. The rules and their reasons are in docs/design/configuration-order.md.
///
/// The caller feeds each page: ObserveStart() with the oldest kept offset, then Apply() for each
/// record in order, and reads on from NextOffset(). Not thread-safe.
class ConfigurationHistory
{
public:
  explicit ConfigurationHistory(std::string aMarket);

  using Events = std::vector<ConfigurationEvent>;

  /// Notes the oldest offset that the log still keeps. Past NextOffset() it is a gap.
  [[nodiscard]] Events ObserveStart(Offset aStart);

  /// Folds one record. One that was read before is ignored.
  [[nodiscard]] Events Apply(Offset aOffset, std::string_view aData);

  /// Takes a peer's state if it reaches further than this reader's own; an older one changes nothing.
  [[nodiscard]] Events AdoptFromPeer(const ConfigurationOffer& aOffer);

  [[nodiscard]] const std::string& Market() const;

  /// What is in force, or nullptr. During a gap: the last known.
  [[nodiscard]] const ConfigurationPtr& InForce() const;

  /// Offset in force, or kNoOffset.
  [[nodiscard]] Offset OffsetInForce() const;

  /// First offset not yet read.
  [[nodiscard]] Offset NextOffset() const;

  /// Whether what is in force at NextOffset() is known; false during a gap.
  [[nodiscard]] bool IsCertain() const;

  /// `through` of the newest checkpoint read that is consistent with this reader, or kNoOffset.
  [[nodiscard]] Offset NewestCheckpoint() const;

  /// What to tell peers; holds also during a gap, for the point before it.
  [[nodiscard]] ConfigurationOffer Offer() const;

  /// The checkpoint to write now. Only while IsCertain().
  [[nodiscard]] ConfigurationRecord MakeCheckpoint(RecordId aWriter) const;

private:
  /// A record read during a gap, kept until a checkpoint tells where to resume.
  struct PendingRecord
  {
    Offset offset = kNoOffset;
    ConfigurationRecord record;
  };

  Events Fold(Offset aOffset, ConfigurationRecord&& aRecord);
  ConfigurationEvent FoldManifest(Offset aOffset, ConfigurationRecord&& aRecord);
  ConfigurationEvent FoldCheckpoint(Offset aOffset, const ConfigurationRecord& aRecord);
  Events Hold(Offset aOffset, ConfigurationRecord&& aRecord);

  /// Keeps the memory of a long gap within limits.
  void BoundPending();

  /// Ends a gap: sets the state at aThrough and folds the held records from there on.
  Events Resume(Offset aThrough, ConfigurationPtr aInForce);

  std::string market;
  ConfigurationPtr inForce;
  Offset next = 0;               ///< First offset not yet read.
  Offset certainThrough = 0;     ///< Last point at which the state was certain.
  Offset gapEnd = 0;             ///< During a gap: oldest offset kept when it was found.
  bool certain = true;           ///< False during a gap.
  Offset lastChange = kNoOffset; ///< Where this reader itself saw the last change happen.
  Offset newestCheckpoint = kNoOffset;
  std::deque<PendingRecord> pending; ///< Read during a gap, in order.
};

} // namespace lagoonward
