#pragma once

#include "Lagoonward/Daemon/EndpointChanges.h"

#include <cstdint>
#include <vector>

namespace lagoonward {

/// The picture of the sender, as far as the receiver may not have it.
struct NewsMessage
{
  bool isForAll = false;     ///< Whether the receiver is to tell its group.
  std::int64_t sentAt = 0;   ///< Milliseconds of the sender's BootNow(), see DelayMeter.
  std::int64_t age = 0;      ///< Of the sender's picture, in milliseconds.
  std::int64_t answered = 0; ///< How long before that the source had answered, in milliseconds.
  std::int64_t from = 0;     ///< All changes of this version and above are among the entries.
  std::int64_t end = 0;      ///< The sender's picture is whole below this version.
  std::uint64_t digest = 0;  ///< Of the endpoints that live as the sender knows them.
  std::int64_t configuration = 0; ///< Version in force at the sender.
  std::vector<EndpointRecord> entries;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->isForAll, this->sentAt, this->age, this->answered, this->from, this->end,
             this->digest, this->configuration, this->entries);
  }
};

/// The answer to it.
struct NewsAnswer
{
  bool isWhole = false; ///< Whether the receiver has read the whole once.
  std::int64_t end = 0; ///< Its picture is whole below this version.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->isWhole, this->end);
  }
};

} // namespace lagoonward
