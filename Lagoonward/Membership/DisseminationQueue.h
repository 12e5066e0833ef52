#pragma once

#include "Lagoonward/Membership/Messages.h"

#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace lagoonward {

/// Queue of membership changes to disseminate. Each change is sent in a bounded number of datagrams; changes
/// sent least often come first, and a datagram gets only the changes that fit. Performs no I/O. Not thread-safe.
class DisseminationQueue
{
public:
  /// Returns the current change record of a daemon, or nothing if the daemon is no longer in the peer table.
  using ChangeLookup = std::function<std::optional<PeerChange>(PeerKey aKey)>;

  /// Queues a daemon's change, replacing an older one of the same daemon.
  void Add(PeerKey aKey);

  /// Selects the changes for one datagram.
  /// @param aBytes         bytes available for changes
  /// @param aMaximumSends  number of datagrams in which each change is sent
  /// @param aLookup        returns the current change record of a daemon
  /// @param aTarget        receives the changes, appended to its content
  void SelectForDatagram(std::size_t aBytes, std::size_t aMaximumSends, const ChangeLookup& aLookup,
                         std::vector<PeerChange>& aTarget);

  /// Encoded size of a change, in bytes.
  [[nodiscard]] static std::size_t WireBytes(const PeerChange& aChange);

  /// Whether the strings of this daemon fit into a datagram.
  [[nodiscard]] static bool FitsInDatagram(const PeerInfo& aInfo);

private:
  struct Item
  {
    PeerKey key = 0;
    std::size_t sendCount = 0;
  };

  std::deque<Item> items;
};

} // namespace lagoonward
