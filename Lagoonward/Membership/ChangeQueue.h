#pragma once

#include "Lagoonward/Membership/Messages.h"

#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace lagoonward {

/// Membership changes that still have to be passed on. Each goes into a bounded number of datagrams,
/// the ones sent least first, and into each datagram only what fits. Pure.
class ChangeQueue
{
public:
  /// Looks up a change as it reads now; nothing when the daemon has been forgotten.
  using Reader = std::function<std::optional<PeerChange>(PeerKey aKey)>;

  /// Queues a daemon's change; an older one of the same daemon is replaced.
  void Add(PeerKey aKey);

  /// Changes for one datagram.
  /// @param aBytes   room for them
  /// @param aSends   datagrams that each change goes into
  /// @param aTarget  gets the changes, behind what it has already
  void Take(std::size_t aBytes, std::size_t aSends, const Reader& aReader,
            std::vector<PeerChange>& aTarget);

  /// Bytes of a change on the wire.
  [[nodiscard]] static std::size_t WireBytes(const PeerChange& aChange);

  /// Whether a datagram has room for this daemon's strings.
  [[nodiscard]] static bool Fits(const PeerInfo& aInfo);

private:
  struct Item
  {
    PeerKey key = 0;
    std::size_t sent = 0;
  };

  std::deque<Item> items;
};

} // namespace lagoonward
