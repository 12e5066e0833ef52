#pragma once

#include "Lagoonward/Core/Clock.h"
#include "Lagoonward/Core/Hash.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonward {

/// Hash of a daemon's id in the host list; how daemons name each other in messages.
using PeerKey = std::uint64_t;

/// Short hash of an endpoint's id. Two endpoints of a fleet of 880 collide with a probability of
/// about one in ten thousand; then their loads mix until one of them is replaced.
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

/// Who a daemon is and where it can be reached.
struct PeerInfo
{
  std::string id;      ///< The host list's id.
  std::string address; ///< IPv4 number.
  std::uint16_t port = 0;
  std::string failureDomain;
  std::string region;

  [[nodiscard]] PeerKey Key() const { return ToPeerKey(this->id); }

  template<class Archive>
  void serialize(Archive& aArchive);
};

/// What is known of another daemon. Ordered by how strongly one overrules another at the same
/// incarnation.
enum class PeerState : std::uint8_t
{
  Alive,   ///< Answers.
  Leaving, ///< Drains; still answers, gets nothing new.
  Suspect, ///< Silent; removed unless it refutes in time.
  Dead,    ///< Removed; returns only with a higher incarnation.
};

/// One daemon in the published view.
struct Peer
{
  PeerInfo info;
  PeerKey key = 0;
  PeerState state = PeerState::Alive;
  std::uint64_t incarnation = 0;
};

/// Immutable picture of all other daemons, published by the control thread.
struct PeerView
{
  std::uint64_t generation = 0; ///< Grows by one with each published view.
  std::vector<Peer> peers;      ///< Alive, leaving and suspected daemons, ordered by key.
  std::vector<std::string> unreachableRegions; ///< Regions from which nothing is heard.

  /// The daemon of that key, or nullptr.
  [[nodiscard]] const Peer* Find(PeerKey aKey) const;
};

using PeerViewPtr = std::shared_ptr<const PeerView>;

} // namespace lagoonward
