#pragma once

#include "Lagoonward/Daemon/EndpointChangeLog.h"
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

/// State of the sender's snapshot, and the changes that the receiver has not acknowledged.
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

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->hasFullSnapshot, this->endVersion);
  }
};

} // namespace lagoonward
