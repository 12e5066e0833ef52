#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstddef>
#include <cstdint>

namespace lagoonward {

/// Tunables of failure detection between daemons.
struct PeerTableSettings
{
  std::size_t monitorsPerPeer = 3;          ///< Daemons of its own region that probe a daemon.
  std::size_t indirectProbes = 2;           ///< Peers asked to probe one that does not answer.
  std::size_t remotePeersPerRegion = 1;     ///< Daemons of each other region that this one probes.
  Milliseconds probeInterval{ 1000 };       ///< Between two probes of the same peer.
  Milliseconds remoteProbeInterval{ 2000 }; ///< The same towards another region.
  Milliseconds ackTimeout{ 400 };           ///< Silence before others are asked to probe.
  Milliseconds silenceToSuspect{ 2500 };    ///< Silence before a peer is suspected.
  Milliseconds suspicionToDead{ 4000 };     ///< Time a suspect has to refute.
  Milliseconds selfIsolation{ 3000 };       ///< After hearing nobody this long, suspect nobody.
  Milliseconds regionSilence{ 8000 };       ///< Silence after which a region counts as cut off.
  Milliseconds ownPause{ 1000 }; ///< A gap between two ticks that counts as a pause of ours.
  Milliseconds deadProbeInterval{ 5000 }; ///< Between probes of removed, but listed daemons.
  Milliseconds deadRetention{ 60000 };    ///< How long a dead or unlisted peer is remembered.
  std::size_t retransmitFactor = 1;       ///< Sends of one change: this times log2(peers).
};

/// Tunables of load watching and of the spreading of endpoint facts.
struct LoadWatchSettings
{
  std::size_t watchersPerEndpoint = 2;     ///< Daemons of its region that poll an endpoint.
  std::size_t loadFanout = 2;              ///< Peers that get each load fact from a daemon.
  std::size_t newsFanout = 4;              ///< Peers that get each state change, at once.
  Milliseconds pollInterval{ 1000 };       ///< Between two polls by one watcher.
  Milliseconds spreadInterval{ 200 };      ///< Between two rounds of load datagrams.
  Milliseconds minimumPublishGap{ 2000 };  ///< A reading spreads at most this often.
  Milliseconds maximumPublishGap{ 5000 };  ///< Even an unchanged reading spreads this often.
  double materialChange = 0.1;             ///< Share by which a reading must move to spread early.
  Milliseconds staleAfter{ 10000 };        ///< A load older than this is not given out.
  Milliseconds pollPatience{ 5000 };       ///< After this a poll counts as lost.
  Milliseconds departedMemory{ 300000 };   ///< News of unlisted endpoints is ignored this long.
  std::size_t maximumProfiles = 1024;      ///< Profiles kept at once.
  std::size_t failuresToEject = 3;         ///< Failed polls in a row before ejecting.
  std::size_t spreadBytesPerSecond = 8000; ///< Load bytes sent a second, all peers together.
};

/// Tunables of sockets and framing.
struct PeerTransportSettings
{
  std::size_t maximumDatagram = 1200;        ///< Bytes of one datagram, within any path's MTU.
  std::size_t maximumFrame = 1U << 20U;      ///< Bytes of one TCP frame.
  std::size_t maximumFirstFrame = 1U << 16U; ///< Bytes of a frame of a peer not yet authenticated.
  std::size_t maximumConnections = 256;      ///< Accepted TCP connections at once.
  std::size_t maximumQueued = 4U << 20U; ///< Unsent bytes of one connection before it is closed.
  Milliseconds frameTimeout{ 5000 };     ///< For one frame to arrive whole once begun.
  Milliseconds acceptPause{ 500 };       ///< After running out of descriptors.
  Milliseconds idleTimeout{ 30000 };     ///< Unused connections are closed after this.
  std::size_t datagramsPerWake = 64;     ///< Datagrams read before other work gets its turn.
  Seconds clockTolerance{ 30 };          ///< Largest difference between two daemons' clocks.
};

/// Tunables of the soft records of running requests.
struct SoftRecordSettings
{
  std::size_t maximumRecords = 20000; ///< Kept at once; the one that expires first goes first.
  Milliseconds lifetime{ 600000 };    ///< Upper bound for a record's expiry.
  std::size_t searchedHolders = 3;    ///< Daemons asked for a record, one after the other.
};

/// Tunables of reading the platform's host list for a whole region.
struct HostListSettings
{
  std::size_t readers = 2;          ///< Daemons of a region that read it for the others.
  Milliseconds interval{ 1000 };    ///< Shortest time between two readings of one daemon.
  Milliseconds readerPerHost{ 16 }; ///< A reader waits this long for each host of the list.
  Milliseconds otherPerHost{ 240 }; ///< The same for all others.
  Milliseconds publishGap{ 5000 };  ///< Least time between two lists published by one reader.
};

/// All tunables of the membership subsystem.
struct MembershipSettings
{
  PeerTableSettings peers;
  LoadWatchSettings loads;
  PeerTransportSettings transport;
  SoftRecordSettings softRecords;
  HostListSettings hostList;
  Milliseconds tick{ 100 };            ///< Resolution of the control thread's periodic work.
  Milliseconds requestTimeout{ 2000 }; ///< For a request between daemons.
  Milliseconds repairPatience{
    500
  }; ///< A difference is repaired only after this long without news.
  Milliseconds repairInterval{ 2000 }; ///< Least time between two repairs by full exchange.
};

} // namespace lagoonward
