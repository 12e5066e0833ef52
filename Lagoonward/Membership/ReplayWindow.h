#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Membership/PeerInfo.h"

#include <cstdint>
#include <unordered_map>

namespace lagoonward {

/// Remembers which datagrams of one sender's session have arrived: the highest sequence number and
/// the 64 before it. What is older than that counts as seen.
class ReplayWindow
{
public:
  /// Marks a sequence number. @return false when it was seen before or is too old to tell
  [[nodiscard]] bool Accept(std::uint32_t aSequence);

private:
  std::uint32_t highest = 0;
  std::uint64_t seen = 0; ///< Bit n: `highest - n` has arrived.
};

/// Replay protection over all senders. A sender's session only ever rises, so that nothing recorded
/// before its restart is accepted after it. Bounded: only authenticated senders get an entry.
class ReplayGuard
{
public:
  /// @return false when the datagram is a repetition or belongs to an earlier session
  [[nodiscard]] bool Accept(PeerKey aSender, std::uint64_t aSession, std::uint32_t aSequence,
                            TimePoint aNow);

  /// Forgets senders not heard since that moment.
  void Forget(TimePoint aBefore);

private:
  struct Entry
  {
    std::uint64_t session = 0;
    ReplayWindow window;
    TimePoint lastHeard;
  };

  std::unordered_map<PeerKey, Entry> entries;
};

} // namespace lagoonward
