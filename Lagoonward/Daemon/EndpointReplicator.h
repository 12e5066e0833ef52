#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Daemon/DaemonLink.h"
#include "Lagoonward/Daemon/EndpointChangeLog.h"
#include "Lagoonward/Daemon/EndpointReplicatorSettings.h"
#include "Lagoonward/Daemon/EndpointUpdateMessages.h"
#include "Lagoonward/Fleet/EndpointDirectory.h"
#include "Lagoonward/Fleet/LapseDetector.h"
#include "Lagoonward/Fleet/SnapshotOrigin.h"
#include "Lagoonward/Membership/AggregationPlan.h"
#include "Lagoonward/Membership/DelayEstimator.h"

#include <atomic>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>

namespace lagoonward {

/// Functions that the owner of an EndpointReplicator supplies. Called on the control thread.
struct EndpointReplicatorHooks
{
  std::function<Result<Endpoint>(const EndpointRecord&)> decode;
  std::function<void()> onChanged; ///< The snapshot of the endpoints has changed.
  /// The snapshot, after onChanged(), contains everything that was acknowledged before that BootNow() time.
  std::function<void(TimePoint aAsOf)> onCurrent = [](TimePoint) {};
  /// Version of the configuration in force here.
  std::function<std::int64_t()> configurationVersion = [] { return std::int64_t{ -1 }; };
  /// Another daemon's snapshot has been applied in place of a first full read, before onChanged().
  std::function<void()> onPeerSnapshot = [] {};
};

/// Replicates the endpoint records to all daemons. One daemon, the primary reader, reads the records from the source at
/// a short interval and sends the changes to the aggregators of all groups (AggregationPlan), which forward them to
/// their groups. A leaving endpoint is therefore known on every daemon within one read interval and two messages, and
/// the number of reads at the source does not depend on the number of daemons. Where that daemon cannot read, or reads
/// too late, another aggregator reads for all in its place (ReaderRole).
///
/// What any daemon learns by a read of its own is passed on to all: an aggregator sends it to all groups, another daemon
/// to the aggregators of its group, which forward it if they did not know it. A daemon with an old snapshot also asks one
/// peer after the other for newer changes, as it may be the source, or the path to its aggregators, that is lost.
///
/// Each snapshot has an age: it contains all that the source acknowledged longer ago than that. A message carries the
/// age of its sender's snapshot, and the receiver adds an upper bound of the time in transit (DelayBoundOf()). A daemon
/// whose snapshot exceeds its staleness limit reads the source directly; the highest ranks have the shortest limits.
/// Messages that arrive in time but carry an old snapshot do not keep a daemon from reading directly.
///
/// A snapshot is complete up to a version of the source, and a message contains the changes from a version on: the
/// receiver acknowledges the version up to which its snapshot is complete, and is sent the changes from there on. A
/// message that begins beyond that version leaves a gap and does not make the snapshot any younger. Nor does one of
/// another epoch of the source: after a restore, versions of before say nothing of what is in the source. The daemon that
/// finds the restore sends all records of the new epoch. Endpoints that are missing in it are held for a while, as they
/// write again, and ones that had left do not come back by a copy of their record. Each message also
/// carries the digest of the live endpoints, so that a fault in this protocol is detected, and the version of the
/// sender's configuration, so that daemons that receive updates need not poll for configurations either.
///
/// A daemon whose source does not answer before its first full read requests another daemon's snapshot, with the age that
/// it has there, so that a daemon that starts in an outage of the source serves like the others.
///
/// Runs on the control thread, except for methods that are documented for any thread. Construct it, which registers the
/// request handler, before the membership starts.
class EndpointReplicator
{
public:
  /// References must outlive it.
  EndpointReplicator(const EndpointReplicatorSettings& aSettings, DaemonLink& aLink, PeerInfo aSelf,
                     EndpointReplicatorHooks aHooks, const Clock& aClock);

  /// Starts the periodic tick.
  void Start();

  /// A record was read from the source.
  void OnRecord(const EndpointRecord& aRecord);

  /// All existing records were read from the source.
  /// @param aEndVersion  records of this version and above are not among them
  void OnFullRead(const std::vector<EndpointRecord>& aRecords, LogPosition aEndVersion);

  /// The source has answered a read; its records have been passed to the methods above.
  /// @param aAsOf        BootNow() at which the read began: everything acknowledged before then has been passed
  /// @param aEndVersion  all records below this version have been passed
  void OnReadCompleted(TimePoint aAsOf, LogPosition aEndVersion);

  /// The source has stopped answering, or answers again.
  void OnSourceReachability(bool aAnswers);

  /// Interval between two reads of the source in the current state. Any thread.
  [[nodiscard]] Milliseconds ReadInterval() const;

  /// Age of the snapshot: it contains everything that the source acknowledged longer ago than that. The greatest
  /// value before the first full read. Any thread.
  [[nodiscard]] Milliseconds Age() const;

  /// Whether this daemon is the primary reader. True until other daemons are known. Any thread.
  [[nodiscard]] bool IsPrimaryReader() const { return this->role.Rank() == 0; }

  /// Whether this daemon reads the source for all daemons now. Any thread.
  [[nodiscard]] bool ReadsForOthers() const { return this->role.ReadsForOthers(); }

  /// Rank of this daemon among all aggregators; their number if it is not one. Any thread.
  [[nodiscard]] int Rank() const { return this->role.Rank(); }

  /// Whether this daemon is an aggregator of its group and forwards what it reads or receives. Any thread.
  [[nodiscard]] bool IsAggregator() const { return this->role.IsAggregator(); }

  /// Whether this daemon must also poll the source for data that changes rarely: it is the primary or the standby
  /// reader, reads for all daemons, or its snapshot is older than its staleness limit. Any thread.
  [[nodiscard]] bool WatchesSource() const;

  /// Newest configuration version that other daemons have sent. Any thread.
  [[nodiscard]] std::int64_t NewestPeerConfiguration() const
  {
    return this->newestPeerConfiguration;
  }

  /// Epoch of the source that the snapshot is of. Any thread.
  [[nodiscard]] std::int64_t SourceEpoch() const { return this->sourceEpoch; }

  /// Number of records so far that could not be decoded. Any thread.
  [[nodiscard]] std::int64_t RefusedRecords() const { return this->refusedRecords; }

  [[nodiscard]] FleetSnapshotPtr Snapshot() { return this->directory.Snapshot(); }

  /// Decides whether requests may be sent on the snapshot that was published last. Any thread.
  [[nodiscard]] SnapshotGuard& Guard() { return this->guard; }

private:
  /// @return whether the snapshot has changed
  bool HandleRecord(EndpointRecord aRecord, bool aFromPeer);
  /// Both set the evidence of the record to what this daemon knows.
  [[nodiscard]] bool ApplyEntry(EndpointRecord& aRecord, bool aFromPeer);
  [[nodiscard]] bool ApplyRemoval(EndpointRecord& aRecord, bool aFromPeer);
  /// Earliest BootNow() time at which a record of this version can have been written; TimePoint::min() if unknown.
  [[nodiscard]] TimePoint EarliestWriteOf(LogPosition aVersion) const;
  /// The same time by Clock::Now(), which EndpointDirectory uses.
  [[nodiscard]] TimePoint ToSteadyTime(TimePoint aBootTime) const;
  /// The source was restored from an older copy, which the records of the new epoch that follow show.
  void OnSourceRestored(std::int64_t aEpoch);
  /// Removes the endpoints of a snapshot that are not part of a full read.
  void RemoveAllMissing(const FleetSnapshot& aBefore, std::span<const EndpointRecord> aRecords,
                        LogPosition aEndVersion);
  /// Removes an endpoint that is not part of a full read.
  void RemoveMissing(const Endpoint& aEndpoint, LogPosition aEndVersion);
  /// Starts the change log after the first full read.
  void StartChangeLog(LogPosition aEndVersion);
  /// @param aDecodingSince  Clock::Now() before the record was decoded
  [[nodiscard]] bool RefuseRecord(const EndpointRecord& aRecord, const std::string& aReason,
                                  TimePoint aDecodingSince);
  /// The longest time that a message can have been in transit. Without synchronized clocks a message alone shows how
  /// much longer it took than others (DelayEstimator), which is too little where all are slow. Its sender therefore adds
  /// by how much its clock is ahead of this daemon's at most, which replies of this daemon have shown: the bound is the
  /// delay plus that of the fastest recent reply. As long as no reply has arrived, the timeout of a message is assumed.
  [[nodiscard]] Milliseconds DelayBoundOf(PeerKey aSender, const EndpointUpdateHeader& aHeader,
                                          std::int64_t aSentAt);
  /// When the source had answered the sender of a message, by this daemon's BootNow().
  /// @param aAsOf  time before which the sender's snapshot contains everything
  [[nodiscard]] static AvailabilityInterval AnsweredSpanUntil(
    TimePoint aAsOf, const EndpointUpdateMessage& aMessage);
  /// Whether a message contains all records of a later epoch than that of this daemon's snapshot.
  [[nodiscard]] bool BeginsLaterEpoch(const EndpointUpdateMessage& aMessage) const;
  /// Applies the entries of a message.
  /// @return whether the snapshot has changed
  bool ApplyEntries(const EndpointUpdateMessage& aMessage);
  /// @return the encoded reply
  [[nodiscard]] std::string HandleUpdate(PeerKey aSender, std::string_view aBytes);
  /// The snapshot contains all records below a version, as of the end of a span.
  void AdvanceTo(const AvailabilityInterval& aAnswered, LogPosition aEndVersion,
                 const SnapshotOrigin& aOrigin);
  /// Origin of a snapshot that arrives now.
  [[nodiscard]] SnapshotOrigin OriginOf(PeerKey aSender, const EndpointUpdateMessage& aMessage,
                                        const AvailabilityInterval& aAnswered) const;
  [[nodiscard]] SnapshotOrigin OwnOrigin() const;
  [[nodiscard]] std::string AddressOf(PeerKey aDaemon) const;
  void UpdateGuard();
  /// Passes on what a read of this daemon has brought.
  /// @param aIsNew  whether it has brought something that updates had not
  void DistributeRead(bool aIsNew);
  /// Sends updates to this daemon's group, and to those of other groups.
  void SendUpdates(bool aToOtherGroups);
  void SendUpdatesTo(std::span<const PeerAddress> aReceivers, UpdateScope aScope);
  /// Applies an update, or the reply to a query, and passes it on.
  /// @param aSpan  when the source had answered its sender, by this daemon's BootNow()
  void ApplyUpdate(PeerKey aSender, const EndpointUpdateMessage& aMessage,
                   const AvailabilityInterval& aSpan);
  void OnReply(PeerKey aReceiver, std::string_view aReply);
  void CompareDigest(std::uint64_t aDigest);
  [[nodiscard]] std::uint64_t Digest();
  void OnSnapshotChanged();
  /// Asks a peer for the changes since this daemon's snapshot if that is old, or for all records while the source does
  /// not answer and this daemon has no snapshot.
  void QueryPeer();
  /// Answers a query with an encoded update.
  /// @return empty if this daemon knows no more than the sender of the query
  [[nodiscard]] std::string AnswerQuery(std::string_view aBytes);
  /// @return the endpoints' newest records, of those that are not removed
  [[nodiscard]] std::vector<EndpointRecord> AllRecords();
  void ApplyReply(PeerKey aSender, TimePoint aRequestedAt, std::string_view aBytes);
  void ApplyFirstSnapshot(PeerKey aSender, const EndpointUpdateMessage& aMessage,
                          const AvailabilityInterval& aSpan);
  /// This daemon's BootNow(), as messages have it.
  [[nodiscard]] std::int64_t NowInMessages() const;
  [[nodiscard]] std::string EncodeHeaderFor(PeerKey aReceiver) const;
  /// Fills in what all messages say of this daemon's snapshot.
  [[nodiscard]] EndpointUpdateMessage MakeMessage();
  /// Adds the changes that a receiver lacks, as many as a message may hold.
  /// @param aAcknowledged  the receiver's snapshot is complete below this version; nothing if unknown
  void AddChanges(EndpointUpdateMessage& aMessage, std::optional<LogPosition> aAcknowledged) const;
  void Tick();
  void LogStaleness();
  void LogRole();
  void UpdatePlan();
  void PruneRetainedState();
  [[nodiscard]] bool HasSnapshot() const
  {
    return this->endVersion && this->Age() <= kMaximumSnapshotAge;
  }
  [[nodiscard]] bool IsCurrent() const { return this->Age() <= this->role.StalenessLimit(); }

  EndpointReplicatorSettings settings;
  DaemonLink& link;
  PeerInfo self;
  EndpointReplicatorHooks hooks;
  const Clock& clock;
  EndpointDirectory directory;
  LapseDetector lapses;
  SnapshotGuard guard;
  std::unordered_map<std::string, LogPosition> versions; ///< Newest known version by endpoint id.
  /// Newest record that is no removal, by endpoint id, for AllRecords(). Pruned with `versions`.
  std::unordered_map<std::string, EndpointRecord> records;
  bool isSourceLost = false;
  std::size_t queries = 0; ///< Sent so far; each goes to another daemon.
  TimePoint nextQueryAt = TimePoint::min();
  Milliseconds queryPause;     ///< After the next query; doubles while they bring nothing.
  bool isQueryPending = false; ///< The last one has had neither a reply nor its timeout.
  EndpointChangeLog changeLog; ///< Recent changes to send.
  std::optional<LogPosition>
    endVersion; ///< The snapshot is complete below this version; empty before the first full read.
  SnapshotOrigin origin;   ///< Of what `asOf` rests on.
  SnapshotOrigin incoming; ///< Of the message that is being applied.
  std::atomic<std::int64_t> sourceEpoch{ 0 };
  std::atomic<TimePoint> asOf{ TimePoint::min() }; ///< BootNow(); see Age().
  /// BootNow() of the first direct read since one was not answered.
  std::optional<TimePoint> ownReadsAnsweredSince;
  AvailabilityInterval
    answeredSpan; ///< BootNow() times at which the source answered any daemon; see EndpointDirectory.
  std::unordered_map<PeerKey, LogPosition>
    acknowledgedVersions; ///< Version below which each receiver's snapshot is complete.
  std::unordered_map<PeerKey, DelayEstimator> delays;      ///< Of updates, by sender.
  std::unordered_map<PeerKey, DelayEstimator> replyDelays; ///< Of replies to updates, by receiver.
  Milliseconds longestStaleAge{ 0 }; ///< Greatest Age() while above staleAfter; zero otherwise.
  PeerViewPtr planView;              ///< The view that the plan was computed from.
  AggregationPlan plan;
  ReaderRole role;
  bool hasLoggedReading = false; ///< Whether the last logged role was that of a reader for all.
  std::atomic<int> daemonCount{ 1 };
  std::atomic<std::int64_t> newestPeerConfiguration{ -1 };
  std::atomic<bool> needsRepair{ false }; ///< An update was missed; the next read is due at once.
  std::optional<TimePoint> digestMismatchSince; ///< Since when received digests have differed.
  std::optional<TimePoint> lastRepairAt;
  std::optional<std::uint64_t> digest; ///< Of the snapshot; empty after a change.
  std::unordered_map<std::string, std::string>
    refusalReasons; ///< Last reason by id, so that each is logged once.
  std::atomic<std::int64_t> refusedRecords{ 0 };
  bool hasUnpublishedChanges = false;
};

} // namespace lagoonward
