#pragma once

#include "Lagoonward/Core/Clock.h"

#include <cstddef>
#include <cstdint>

namespace lagoonward {

/// Tunables of failure detection between daemons.
struct PeerTableSettings
{
  std::size_t monitorsPerPeer = 3;      ///< Daemons of its own region that probe a daemon.
  std::size_t indirectProbes = 2;       ///< Peers asked to probe a peer that did not respond.
  std::size_t remotePeersPerRegion = 1; ///< Daemons of each other region that this daemon probes.
  Milliseconds probeInterval{ 1000 };   ///< Between two probes of one peer.
  Milliseconds remoteProbeInterval{ 2000 }; ///< The same, for a peer of another region.
  Milliseconds ackTimeout{ 400 };      ///< Time without a response before peers are asked to probe.
  Milliseconds suspectTimeout{ 2500 }; ///< Time without a message before a peer is suspected.
  Milliseconds deadTimeout{ 4000 };    ///< Time for a suspected peer to refute the suspicion.
  Milliseconds isolationTimeout{
    3000
  };                                  ///< Without any message for this long, no peer is suspected.
  Milliseconds regionTimeout{ 8000 }; ///< Without messages this long, a region is unreachable.
  Milliseconds localPauseThreshold{ 1000 }; ///< Gap between two ticks that counts as a local pause.
  Milliseconds deadProbeInterval{ 5000 };   ///< Between probes of daemons that are dead but listed.
  Milliseconds deadRetention{ 60000 };      ///< Retention of a dead or unlisted peer.
  std::size_t retransmitFactor = 1;         ///< Sends per change: this value times log2(peers).
};

/// Tunables of the polling of endpoints and of the dissemination of endpoint facts.
struct EndpointMonitorSettings
{
  std::size_t pollersPerEndpoint = 2; ///< Daemons of its region that poll an endpoint.
  std::size_t loadFanout = 2;         ///< Peers to which a daemon sends each load fact.
  std::size_t updateFanout = 4; ///< Peers to which a daemon sends each state change, immediately.
  Milliseconds pollInterval{ 1000 };           ///< Between two polls by one poller.
  Milliseconds loadSendInterval{ 200 };        ///< Between two rounds of load datagrams.
  Milliseconds minimumPublishInterval{ 2000 }; ///< Shortest time between two published samples.
  Milliseconds maximumPublishInterval{ 5000 }; ///< Longest time between them, even if unchanged.
  double significantChange = 0.1;   ///< Relative change at which a sample is published early.
  Milliseconds staleAfter{ 10000 }; ///< Age after which a load is stale and not used.
  Milliseconds pollTimeout{ 5000 }; ///< Time after which a poll without a result may be repeated.
  Milliseconds tombstoneRetention{ 300000 }; ///< Period of ignoring updates of unlisted endpoints.
  std::size_t maximumProfiles = 1024;        ///< Limit of stored profiles.
  std::size_t failuresToEject = 3; ///< Consecutive failed polls before an endpoint is ejected.
  std::size_t loadBytesPerSecond = 8000; ///< Bytes of load facts sent per second, to all peers.
};

/// Tunables of sockets and framing.
struct PeerTransportSettings
{
  std::size_t maximumDatagram = 1200;        ///< Bytes of one datagram, within any path's MTU.
  std::size_t maximumFrame = 1U << 20U;      ///< Bytes of one TCP frame.
  std::size_t maximumFirstFrame = 1U << 16U; ///< Bytes of a frame of an unauthenticated peer.
  std::size_t maximumConnections = 256;      ///< Accepted TCP connections at once.
  std::size_t maximumQueuedBytes = 4U
                                   << 20U; ///< Unsent bytes of one connection before it is closed.
  Milliseconds frameTimeout{ 5000 }; ///< For the rest of a frame to arrive after its first byte.
  Milliseconds acceptPause{ 500 };   ///< Pause of accepting after running out of file descriptors.
  Milliseconds idleTimeout{ 30000 }; ///< Unused connections are closed after this.
  std::size_t datagramsPerWakeup = 64; ///< Datagrams read before other work of the loop runs.
  Seconds clockTolerance{ 30 };        ///< Largest difference between two daemons' clocks.
};

/// Tunables of the soft records of running requests.
struct SoftRecordSettings
{
  std::size_t maximumRecords = 20000; ///< When full, the record that expires first is evicted.
  Milliseconds lifetime{ 600000 };    ///< Upper bound for a record's expiry.
  std::size_t maximumLookups = 3;     ///< Daemons asked for a record, one after the other.
};

/// Tunables of polling the platform's host list for a whole region.
struct HostListSettings
{
  std::size_t readers = 2;       ///< Daemons of a region that poll the list for the others.
  Milliseconds interval{ 1000 }; ///< Shortest poll interval of one daemon.
  Milliseconds readerIntervalPerHost{ 16 };    ///< Poll interval of a reader, per host of the list.
  Milliseconds followerIntervalPerHost{ 240 }; ///< The same for all other daemons.
  Milliseconds publishInterval{ 5000 }; ///< Shortest time between two lists published by a reader.
};

/// All tunables of the membership subsystem.
struct MembershipSettings
{
  PeerTableSettings peers;
  EndpointMonitorSettings loads;
  PeerTransportSettings transport;
  SoftRecordSettings softRecords;
  HostListSettings hostList;
  Milliseconds tick{ 100 };            ///< Resolution of the control thread's periodic work.
  Milliseconds requestTimeout{ 2000 }; ///< For a request between daemons.

  /// A transfer of a shared state that has not progressed for this long is started from another daemon as well.
  Milliseconds stateHedgeDelay{ 400 };

  /// A digest mismatch is repaired only after the local digest was unchanged this long, because updates in flight
  /// resolve most differences.
  Milliseconds repairDelay{ 500 };

  Milliseconds repairInterval{ 2000 }; ///< Shortest time between two repairs by full exchange.
};

} // namespace lagoonward
