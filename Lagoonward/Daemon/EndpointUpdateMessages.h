#pragma once

#include "Lagoonward/Daemon/EndpointChangeLog.h"
#include "Lagoonward/Membership/PeerInfo.h"

#include <cstdint>
#include <vector>

namespace lagoonward {

/// State of the sender's snapshot, and the changes that the receiver has not acknowledged.
struct EndpointUpdateMessage
{
  bool forwardToGroup = false; ///< Whether the receiver is to send its own update to its group.
  std::int64_t sentAt = 0;     ///< Milliseconds of the sender's BootNow(), see DelayEstimator.
  std::int64_t age = 0;        ///< Of the sender's snapshot, in milliseconds.
  std::int64_t answeredFor =
    0; ///< Length of the span up to then in which the source had answered, in milliseconds.
  LogPosition firstVersion; ///< The entries contain all changes of this version and above.
  LogPosition endVersion;   ///< The sender's snapshot is complete below this version.
  std::uint64_t digest = 0; ///< Of the live endpoints in the sender's snapshot.
  std::int64_t configurationVersion = 0; ///< In force at the sender.
  std::vector<EndpointRecord> entries;
  PeerKey reader = 0; ///< Daemon whose read of the source the age rests on.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->forwardToGroup, this->sentAt, this->age, this->answeredFor, this->firstVersion,
             this->endVersion, this->digest, this->configurationVersion, this->entries,
             this->reader);
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
