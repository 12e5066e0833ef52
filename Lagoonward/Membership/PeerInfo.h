#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/Hash.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Hash of a daemon's id in the host list. Identifies daemons in messages.
using PeerKey = std::uint64_t;

/// Short hash of an endpoint's id. In a fleet of 880 endpoints, the probability that any two collide is
/// about one in ten thousand. Colliding endpoints overwrite each other's load samples until one of them
/// is replaced.
using EndpointKey = std::uint32_t;

[[nodiscard]] inline PeerKey
ToPeerKey(std::string_view aId)
{
  return HashBytes(aId);
}

[[nodiscard]] inline EndpointKey
ToEndpointKey(std::string_view aId)
{
  return static_cast<EndpointKey>(HashBytes(aId));
}

/// Identity and address of a daemon.
struct PeerInfo
{
  std::string id;      ///< Id in the host list.
  std::string address; ///< IPv4 address in dotted decimal.
  std::uint16_t port = 0;
  std::string failureDomain;
  std::string region;

  [[nodiscard]] PeerKey Key() const { return ToPeerKey(this->id); }

  template<class Archive>
  void serialize(Archive& aArchive);
};

/// State of another daemon. At the same incarnation, the higher value takes precedence.
enum class PeerState : std::uint8_t
{
  Alive,   ///< Responds to probes.
  Leaving, ///< Drains: responds to probes, accepts no new requests.
  Suspect, ///< Does not respond; becomes Dead unless it refutes in time.
  Dead,    ///< Removed; can rejoin only with a higher incarnation.
};

/// One daemon of a published view.
struct Peer
{
  PeerInfo info;
  PeerKey key = 0;
  PeerState state = PeerState::Alive;
  std::uint64_t incarnation = 0;
};

/// Immutable snapshot of all other daemons, published by the control thread.
struct PeerView
{
  std::uint64_t generation = 0; ///< Incremented with each published view.
  std::vector<Peer> peers;      ///< Alive, leaving and suspect daemons, ordered by key.
  std::vector<std::string> unreachableRegions; ///< Regions without contact.

  /// Returns the daemon with this key, or nullptr.
  [[nodiscard]] const Peer* Find(PeerKey aKey) const;
};

using PeerViewPtr = std::shared_ptr<const PeerView>;

} // namespace lagoonward
