#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Membership/PeerInfo.h"

#include <cstdint>
#include <unordered_map>

namespace lagoonward {

/// Sliding window over the sequence numbers of one sender's session: the 64 numbers up to the highest
/// one received. Older numbers count as received.
class ReplayWindow
{
public:
  /// Records a sequence number. @return false if it was received before or is older than the window
  [[nodiscard]] bool Accept(std::uint32_t aSequence);

private:
  std::uint32_t highest = 0;
  std::uint64_t received = 0; ///< Bit n: `highest - n` has arrived.
};

/// Replay protection for all senders. A sender's session never decreases, so that a datagram recorded
/// before its restart is rejected afterwards. Bounded, since only authenticated senders get an entry.
class ReplayGuard
{
public:
  /// @return false if the datagram is a replay or belongs to an earlier session
  [[nodiscard]] bool Accept(PeerKey aSender, std::uint64_t aSession, std::uint32_t aSequence,
                            TimePoint aNow);

  /// Evicts senders whose last datagram was received before aBefore.
  void EvictBefore(TimePoint aBefore);

private:
  struct Entry
  {
    std::uint64_t session = 0;
    ReplayWindow window;
    TimePoint lastContact;
  };

  std::unordered_map<PeerKey, Entry> entries;
};

} // namespace lagoonward
