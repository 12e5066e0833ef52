#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Daemon/EndpointChanges.h"
#include "Lagoonward/Daemon/EndpointNewsSettings.h"
#include "Lagoonward/Fleet/EndpointDirectory.h"
#include "Lagoonward/Membership/AggregationPlan.h"
#include "Lagoonward/Membership/DelayMeter.h"
#include "Lagoonward/Membership/MembershipService.h"

#include <atomic>
#include <functional>
#include <optional>
#include <unordered_map>

namespace lagoonward {

/// What a daemon tells of beside the endpoints, and learns in turn.
struct EndpointNewsHooks
{
  std::function<Result<Endpoint>(const EndpointRecord&)> decode;
  std::function<void()> changed; ///< The picture has changed.
  /// Version of the configuration in force here.
  std::function<std::int64_t()> configuration = [] { return std::int64_t{ -1 }; };
};

/// Keeps the picture of the endpoints. One daemon reads the endpoints' records often, for the whole deployment, and tells
/// the aggregators of all groups (AggregationPlan) what has changed; those tell their groups. So a leaving endpoint is
/// known everywhere within one pace and two messages, and the source is asked as often whatever the number of daemons.
///
/// Each picture has an age: everything that the source acknowledged before then is in it. A message tells its sender's,
/// and the time that it took is added (DelayMeter). A daemon whose picture grows too old reads by itself, the next in line
/// first; messages that come in time with news that is old do not keep it from that.
///
/// A picture is whole up to a version of the source, and a message goes on from one: the receiver confirms up to where
/// its own is whole, and is told from there on. A message that begins beyond it leaves a gap and makes it no younger.
/// Each also tells the digest of the endpoints that live, so that a fault in this shows, and the sender's configuration's
/// version, so that who hears of reads need not ask for configurations either.
///
/// On the control thread, but for what is said to be for any thread. Register before the membership starts.
class EndpointNews
{
public:
  /// References must outlive it.
  EndpointNews(const EndpointNewsSettings& aSettings, MembershipService& aMembership,
               PeerInfo aSelf, EndpointNewsHooks aHooks, const Clock& aClock);

  /// Begins to look at what is due.
  void Start();

  /// A record was read from the source.
  void OnRecord(const EndpointRecord& aRecord);

  /// All records there are were read from the source.
  /// @param aEnd  records of this version and above are not among them
  void OnWhole(const std::vector<EndpointRecord>& aRecords, std::int64_t aEnd);

  /// The source has answered a read; what it brought has been told by the calls above.
  /// @param aAsOf  BootNow() at which the read began: what was acknowledged before then has been told
  /// @param aEnd   records below this version have been told
  void OnRead(TimePoint aAsOf, std::int64_t aEnd);

  /// The source does not answer, or answers again.
  void OnSource(bool aAnswers);

  /// How long to wait between two reads as things stand. Any thread.
  [[nodiscard]] Milliseconds Pace() const;

  /// How old the picture is: all that the source had acknowledged before then is in it. The greatest value before the
  /// first whole read. Any thread.
  [[nodiscard]] Milliseconds Age() const;

  /// Whether this daemon reads often, for all. True until others are known. Any thread.
  [[nodiscard]] bool IsReader() const { return this->rank == 0; }

  /// Whether this daemon tells others what it reads or hears. Any thread.
  [[nodiscard]] bool TellsOthers() const { return this->tells; }

  /// Whether this daemon is to watch the source for what is rare as well: it reads for all, stands next in line, or hears
  /// of no reads. Any thread.
  [[nodiscard]] bool WatchesSource() const;

  /// Newest configuration that others have told of. Any thread.
  [[nodiscard]] std::int64_t ToldConfiguration() const { return this->toldConfiguration; }

  /// Records so far that could not be read. Any thread.
  [[nodiscard]] std::int64_t Refused() const { return this->refused; }

  [[nodiscard]] FleetSnapshotPtr Snapshot() { return this->directory.Snapshot(); }

private:
  /// @return whether the picture has changed
  bool Take(const EndpointRecord& aRecord, bool aFromPeer);
  [[nodiscard]] bool Apply(const EndpointRecord& aRecord, bool aFromPeer);
  [[nodiscard]] bool Refuse(const EndpointRecord& aRecord, const std::string& aReason);
  /// @return the answer
  [[nodiscard]] std::string TakeMessage(PeerKey aSender, std::string_view aBytes);
  /// The picture holds all of the records below a version, as of the end of a span.
  void Extend(const AnsweredSpan& aAnswered, std::int64_t aEnd);
  void Tell(bool aToGroups);
  void TellTo(std::span<const PeerAddress> aReceivers, bool aForGroups);
  void OnConfirmed(PeerKey aReceiver, std::string_view aAnswer);
  void CompareDigest(std::uint64_t aDigest);
  [[nodiscard]] std::uint64_t Digest();
  void OnChanged();
  void Tick();
  void NoteAge();
  void UpdatePlan();
  void Forget();
  /// Age of the picture at which this daemon reads by itself.
  [[nodiscard]] Milliseconds Silence() const;
  [[nodiscard]] bool IsCurrent() const { return this->Age() <= this->Silence(); }

  EndpointNewsSettings settings;
  MembershipService& membership;
  PeerInfo self;
  EndpointNewsHooks hooks;
  const Clock& clock;
  EndpointDirectory directory;
  std::unordered_map<std::string, std::int64_t> versions; ///< Newest known of each endpoint.
  EndpointChanges changes;                                ///< What the others are told.
  std::optional<std::int64_t>
    end; ///< The picture is whole below this version; empty before the first whole read.
  std::atomic<TimePoint> asOf{ TimePoint::min() }; ///< BootNow(); see Age().
  /// BootNow() of the first own read since one was not answered.
  std::optional<TimePoint> ownAnsweredSince;
  AnsweredSpan
    answered; ///< BootNow() times at which the source answered somebody; see EndpointDirectory.
  std::unordered_map<PeerKey, std::int64_t>
    confirmed; ///< Below which version others' pictures are whole.
  std::unordered_map<PeerKey, DelayMeter> delays; ///< Of those who tell.
  Milliseconds longestAge{ 0 }; ///< Since the picture was late first; zero while it is not.
  PeerViewPtr planned;          ///< The view that the plan rests on.
  AggregationPlan plan;
  std::atomic<int> rank{ 0 };      ///< In the plan; zero reads for all.
  std::atomic<bool> tells{ true }; ///< Whether this daemon is an aggregator of its group.
  std::atomic<int> daemons{ 1 };
  std::atomic<std::int64_t> toldConfiguration{ -1 };
  std::atomic<bool> needsRepair{ false }; ///< Something was missed; the next read is due at once.
  std::optional<TimePoint> differsSince;  ///< Since when the digest told differs.
  std::optional<TimePoint> repairedAt;
  std::optional<std::uint64_t> digest; ///< Of the picture; empty after a change.
  std::unordered_map<std::string, std::string>
    refusals; ///< Last reason by id, for one log line each.
  std::atomic<std::int64_t> refused{ 0 };
  bool isChanged = false; ///< Since the picture was published.
};

} // namespace lagoonward
