#pragma once

#include "Lagoonward/Membership/DisseminationQueue.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/Messages.h"
#include "Lagoonward/Membership/PeerEntry.h"
#include "Lagoonward/Membership/ProbeScheduler.h"
#include "Lagoonward/Membership/RegionGraph.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <map>
#include <span>
#include <vector>

namespace lagoonward {

/// Membership table and failure detector after SWIM. Each daemon is probed by a few daemons of its
/// region, chosen by rendezvous hashing of its key. A daemon that does not respond is probed
/// indirectly, then suspected, and removed if it does not refute in time. Only daemons of the same
/// region suspect a daemon, so a partition between regions removes no daemons. An isolated daemon, one
/// without contact to any peer, suspects none. Performs no I/O; the clock is injected.
class PeerTable
{
public:
  PeerTable(const Clock& aClock, PeerInfo aSelf, std::uint64_t aIncarnation,
            PeerTableSettings aSettings);

  /// Sets the port that was bound, for a setting of 0 (any free port).
  void SetOwnPort(std::uint16_t aPort);

  /// Applies the platform's host list, which may be out of date: adds unknown daemons, and makes
  /// unlisted ones eligible for removal once contact is lost. Never sets a dead daemon alive.
  void ApplyHostList(std::span<const HostEntry> aHosts);

  /// Applies a change that another daemon reported.
  void Apply(const PeerChange& aChange);

  /// Records an authentic datagram of a daemon, with the sender's incarnation and state.
  void OnContact(PeerKey aPeer, std::uint64_t aIncarnation, PeerState aState);

  /// Records an authentic datagram without incarnation, one that only disseminates updates.
  void OnContact(PeerKey aPeer);

  /// Records that another daemon's probe of the subject was acknowledged.
  void OnIndirectAck(PeerKey aSubject);

  /// Advances suspicions and returns the probes to send now. Called every tick.
  [[nodiscard]] std::vector<ScheduledProbe> Tick();

  /// Sets this daemon's state to Leaving and disseminates it.
  void Leave();

  /// Returns the changes for the next datagram to a peer, least sent first, at most aBytes in total.
  /// If the receiver is suspect or dead here, that entry comes first, so that it can refute.
  [[nodiscard]] std::vector<PeerChange> TakeChanges(PeerKey aTo, std::size_t aBytes);

  /// Returns all daemons that are not dead with their info, this one first; sent to a joining daemon.
  [[nodiscard]] std::vector<PeerChange> AllChanges() const;

  /// Returns a new view if anything has changed since the last call, else nullptr.
  [[nodiscard]] PeerViewPtr TakeView();

  /// Returns the probed daemons of each other region, chosen by rendezvous hashing of this daemon's
  /// key and replaced while they do not respond.
  [[nodiscard]] std::vector<PeerKey> RemotePeers() const;

  /// The daemons of this region that are not dead, this one included.
  [[nodiscard]] const RegionGraph& Region() const;

  [[nodiscard]] const Peer* Find(PeerKey aKey) const;

  /// Whether a known daemon is in this daemon's region.
  [[nodiscard]] bool IsRegional(PeerKey aKey) const;
  [[nodiscard]] std::uint64_t Incarnation() const;
  [[nodiscard]] PeerState OwnState() const;

private:
  PeerEntry* Insert(const PeerInfo& aInfo, std::uint64_t aIncarnation, PeerState aState);
  void SetState(PeerEntry& aEntry, PeerState aState, std::uint64_t aIncarnation);
  void RefuteIfNeeded(const PeerChange& aChange);
  void RecordContact(PeerEntry& aEntry);
  void DetectLocalPause();
  void ResetSilenceTimers(TimePoint aNow);
  void AdvanceSuspicion(PeerEntry& aEntry);
  void RemoveExpired();
  void UpdateReachability();
  [[nodiscard]] bool IsIsolated() const;
  [[nodiscard]] PeerChange ToChange(const PeerEntry& aEntry) const;
  [[nodiscard]] PeerChange OwnChange() const;
  [[nodiscard]] std::size_t RetransmitLimit() const;

  const Clock& clock;
  PeerInfo self;
  PeerKey selfKey;
  std::uint64_t incarnation;
  PeerState ownState = PeerState::Alive;
  bool selfListed = false; ///< In the host list, so changes of this daemon need no info.
  PeerTableSettings settings;
  TimePoint lastAnyContact;
  TimePoint lastTick;
  PeerEntries entries;
  RegionGraph region;
  ProbeScheduler scheduler;
  DisseminationQueue changes;
  std::map<std::string, TimePoint, std::less<>>
    lastRegionContact;                         ///< Last datagram from each other region.
  std::vector<std::string> unreachableRegions; ///< Unreachable regions, as in the last view.
  bool changed = true;                         ///< Since the last TakeView().
  bool targetsStale = true;                    ///< Probe targets must be recomputed.
  std::uint64_t generation = 0;
};

} // namespace lagoonward
