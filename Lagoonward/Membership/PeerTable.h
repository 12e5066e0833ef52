#pragma once

#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/Messages.h"
#include "Lagoonward/Membership/PeerInfo.h"
#include "Lagoonward/Platform/PlatformInterfaces.h"

#include <deque>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// A datagram that the table wants sent.
struct ProbeOrder
{
  PeerKey to = 0;
  DatagramKind kind = DatagramKind::Ping;
  std::uint32_t nonce = 0;
  PeerKey subject = 0; ///< Only for indirect probes.
};

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

  /// Changes to put into the next datagram, those sent least first. Bounded by the settings.
  [[nodiscard]] std::vector<PeerChange> TakeChanges();

  /// Every known daemon, this one included, with its info; for one that joins.
  [[nodiscard]] std::vector<PeerChange> AllChanges() const;

  /// A new view when something has changed since the last call, else nullptr.
  [[nodiscard]] PeerViewPtr TakeView();

  /// Peers that news goes to from here: successors in the generalized de Bruijn graph over the
  /// region's daemons, so that news reaches all in log(daemons) steps to the base of the fan-out.
  [[nodiscard]] std::vector<PeerKey> Successors(std::size_t aFanout) const;

  /// One reachable daemon of each other region, by rendezvous of this daemon's key.
  [[nodiscard]] std::vector<PeerKey> RemotePeers() const;

  /// Keys of this region's daemons that are alive or suspected, this one included, in order.
  [[nodiscard]] const std::vector<PeerKey>& RegionKeys() const;

  [[nodiscard]] const Peer* Find(PeerKey aKey) const;
  [[nodiscard]] std::uint64_t Incarnation() const;
  [[nodiscard]] PeerState OwnState() const;

private:
  struct Entry
  {
    Peer peer;
    bool listed = false;       ///< In the host list.
    bool probed = false;       ///< This daemon probes it.
    bool remote = false;       ///< In another region.
    bool indirectSent = false; ///< Others were asked since the last answer.
    TimePoint lastHeard;       ///< Any authentic datagram, or when it became known.
    TimePoint lastProbe;
    TimePoint stateSince;
  };

  struct PendingChange
  {
    PeerKey key = 0;
    std::size_t sent = 0;
  };

  Entry& Insert(const PeerInfo& aInfo, std::uint64_t aIncarnation, PeerState aState);
  void SetState(Entry& aEntry, PeerState aState, std::uint64_t aIncarnation);
  void Announce(PeerKey aKey);
  void RefuteIfNeeded(const PeerChange& aChange);
  void MoveSuspicion(Entry& aEntry);
  void AddProbes(Entry& aEntry, std::vector<ProbeOrder>& aOrders);
  void AddIndirectProbes(Entry& aEntry, std::vector<ProbeOrder>& aOrders);
  void Forget();
  void RecomputeTargets();
  void RecomputeRegion();
  void MarkRemoteTargets();
  [[nodiscard]] bool IsIsolated() const;
  [[nodiscard]] bool IsMonitorOf(PeerKey aSubject) const;
  [[nodiscard]] PeerChange ToChange(const Entry& aEntry, bool aWithInfo) const;
  [[nodiscard]] PeerChange OwnChange() const;
  [[nodiscard]] std::size_t SendLimit() const;
  [[nodiscard]] std::vector<std::string> SilentRegions() const;

  const Clock& clock;
  PeerInfo self;
  PeerKey selfKey;
  std::uint64_t incarnation;
  PeerState ownState = PeerState::Alive;
  PeerTableSettings settings;
  std::map<PeerKey, Entry> entries; ///< Ordered, so that every daemon sees the same order.
  std::vector<PeerKey> regionKeys;
  std::map<std::string, TimePoint, std::less<>> regionHeard; ///< Other regions, last datagram.
  std::deque<PendingChange> pending;
  TimePoint lastHeardAny;
  TimePoint started;
  std::uint32_t nextNonce = 1;
  bool changed = true;      ///< Since the last TakeView().
  bool targetsStale = true; ///< Probe targets must be chosen again.
  std::uint64_t generation = 0;
  std::vector<std::string> unreachable;
};

} // namespace lagoonward
