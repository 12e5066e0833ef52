#pragma once

#include "Lagoonward/Daemon/EndpointChangeLog.h"
#include "Lagoonward/Daemon/PeerMessages.h"
#include "Lagoonward/Membership/PeerInfo.h"

#include <cstdint>
#include <vector>

namespace lagoonward {

/// Where the receiver of an update is to send it on.
enum class UpdateScope : std::uint8_t
{
  Receiver,   ///< Nowhere.
  Group,      ///< To its group, if it is an aggregator.
  Deployment, ///< To all groups, if it is an aggregator and did not know this before.
};

/// Precedes an EndpointUpdateMessage that is sent as an update. The only part that differs from receiver to receiver.
struct EndpointUpdateHeader
{
  /// Whether the sender has had a reply of the receiver.
  bool hasClockDifference = false;
  /// The sender's BootNow() minus the receiver's, in milliseconds, or more: by how much an own reply of the receiver was
  /// delayed. With it the receiver has an upper bound of the delay of this message.
  std::int64_t clockDifference = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->hasClockDifference, this->clockDifference);
  }
};

/// Number of bytes of an encoded EndpointUpdateHeader, which does not depend on its values.
[[nodiscard]] inline std::size_t
EncodedSizeOfUpdateHeader()
{
  static const std::size_t kSize = EncodePeerMessage(EndpointUpdateHeader()).size();
  return kSize;
}

/// Greatest age of a snapshot that is sent or accepted: older ones are of no use.
inline constexpr Milliseconds kMaximumSnapshotAge = Seconds(3600);

/// State of the sender's snapshot, and the changes that the receiver has not acknowledged. If they are more than one
/// message may hold, the message has the oldest of them and ends where they end; it then does not make the receiver's
/// snapshot any younger (IsPart()), and the next message goes on from what the receiver acknowledges.
struct EndpointUpdateMessage
{
  UpdateScope scope = UpdateScope::Receiver;
  std::int64_t sentAt = 0; ///< Milliseconds of the sender's BootNow(), see DelayEstimator.
  std::int64_t age = 0;    ///< Of the sender's snapshot, in milliseconds.
  std::int64_t answeredFor =
    0; ///< Length of the span up to then in which the source had answered, in milliseconds.
  LogPosition firstVersion; ///< The entries contain all changes of this version and above.
  LogPosition endVersion;   ///< The sender's snapshot is complete below this version.
  std::uint64_t digest = 0; ///< Of the live endpoints in the sender's snapshot.
  std::int64_t configurationVersion = 0; ///< In force at the sender.
  std::vector<EndpointRecord> entries;
  bool isComplete = false; ///< Whether the entries are all records, and others no longer exist.
  PeerKey reader = 0;      ///< Daemon whose read of the source the age rests on.

  /// Whether the sender has more changes: then it states the greatest age, as its own would be that of all of them.
  [[nodiscard]] bool IsPart() const { return this->age >= kMaximumSnapshotAge.count(); }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->scope, this->sentAt, this->age, this->answeredFor, this->firstVersion,
             this->endVersion, this->digest, this->configurationVersion, this->entries,
             this->isComplete, this->reader);
  }
};

/// Asks for what the receiver knows beyond the sender's snapshot.
struct EndpointQuery
{
  bool hasFullSnapshot = false; ///< Otherwise all records are needed.
  LogPosition endVersion;       ///< The sender's snapshot is complete below this version.
  std::int64_t age = 0;         ///< Of that snapshot, in milliseconds.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->hasFullSnapshot, this->endVersion, this->age);
  }
};

/// Reply to an EndpointUpdateMessage.
struct EndpointUpdateReply
{
  bool hasFullSnapshot = false; ///< Whether the receiver has completed a full read.
  LogPosition endVersion;       ///< Its snapshot is complete below this version.
  std::int64_t repliedAt = 0;   ///< Milliseconds of the sender's BootNow().

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->hasFullSnapshot, this->endVersion, this->repliedAt);
  }
};

} // namespace lagoonward
