#pragma once

#include "Lagoonward/Membership/ChangeQueue.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/Messages.h"
#include "Lagoonward/Membership/PeerEntry.h"
#include "Lagoonward/Membership/ProbePlan.h"
#include "Lagoonward/Membership/RegionGraph.h"
#include "Lagoonward/Providers/PlatformInterfaces.h"

#include <map>
#include <span>
#include <vector>

namespace lagoonward {

/// Who the other daemons are and whether they answer, after SWIM: each daemon is probed by a few of
/// its region, chosen by rendezvous hashing of its key; a silent one is probed through others, then
/// suspected, and removed only when it has not refuted in time. Only daemons of its own region
/// suspect a daemon, so regions that lose each other remove nobody; a daemon that hears nobody
/// suspects nobody. Pure: no I/O, the clock is passed in.
class PeerTable
{
public:
  PeerTable(const Clock& aClock, PeerInfo aSelf, std::uint64_t aIncarnation,
            PeerTableSettings aSettings);

  /// Tells the port that was bound, when the setting asked for a free one.
  void SetOwnPort(std::uint16_t aPort);

  /// Takes the platform's list, which lags: it brings in daemons that are not known yet, and lets
  /// unlisted ones be forgotten once they are silent. It revives nobody.
  void ApplyHostList(std::span<const HostEntry> aHosts);

  /// Takes a change that another daemon reported.
  void Apply(const PeerChange& aChange);

  /// Takes proof that a daemon is there: an authentic datagram.
  void OnHeard(PeerKey aPeer, std::uint64_t aIncarnation, PeerState aState);

  /// Takes proof of life without an incarnation, from a datagram that only spreads news.
  void OnHeard(PeerKey aPeer);

  /// Takes the answer of another daemon's probe of a peer.
  void OnIndirectAck(PeerKey aSubject);

  /// Moves suspicions forward and says what to send now. Called every tick.
  [[nodiscard]] std::vector<ProbeOrder> Tick();

  /// Announces that this daemon leaves.
  void Leave();

  /// Changes to put into the next datagram to a peer, those sent least first, at most aBytes of
  /// them. What is wrongly believed of the receiver itself goes first, so that it can refute.
  [[nodiscard]] std::vector<PeerChange> TakeChanges(PeerKey aTo, std::size_t aBytes);

  /// Every known daemon, this one included, with its info; for one that joins.
  [[nodiscard]] std::vector<PeerChange> AllChanges() const;

  /// A new view when something has changed since the last call, else nullptr.
  [[nodiscard]] PeerViewPtr TakeView();

  /// One reachable daemon of each other region, by rendezvous of this daemon's key.
  [[nodiscard]] std::vector<PeerKey> RemotePeers() const;

  /// This region's daemons that are not dead, this one included.
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
  void NoteHeard(PeerEntry& aEntry);
  void CheckOwnPause();
  void ExcuseSilence(TimePoint aNow);
  void MoveSuspicion(PeerEntry& aEntry);
  void Forget();
  void UpdateReachability();
  [[nodiscard]] bool IsIsolated() const;
  [[nodiscard]] PeerChange ToChange(const PeerEntry& aEntry) const;
  [[nodiscard]] PeerChange OwnChange() const;
  [[nodiscard]] std::size_t SendLimit() const;

  const Clock& clock;
  PeerInfo self;
  PeerKey selfKey;
  std::uint64_t incarnation;
  PeerState ownState = PeerState::Alive;
  bool selfListed = false; ///< In the host list: the others need no info of this daemon.
  PeerTableSettings settings;
  TimePoint lastHeardAny;
  TimePoint lastTick;
  PeerEntries entries;
  RegionGraph region;
  ProbePlan plan;
  ChangeQueue changes;
  std::map<std::string, TimePoint, std::less<>> regionHeard; ///< Other regions, last datagram.
  std::vector<std::string> unreachable;                      ///< As in the last view.
  bool changed = true;                                       ///< Since the last TakeView().
  bool targetsStale = true; ///< Probe targets must be chosen again.
  std::uint64_t generation = 0;
};

} // namespace lagoonward
