#pragma once

#include "Lagoonward/Core/Result.h"
#include "Lagoonward/Fleet/EndpointDirectory.h"
#include "Lagoonward/Membership/MembershipService.h"

#include <atomic>
#include <deque>
#include <functional>
#include <unordered_map>

namespace lagoonward {

/// An endpoint's own record, as its source keeps it.
struct EndpointRecord
{
  std::string id;
  std::string text;         ///< Empty where it was removed.
  std::int64_t version = 0; ///< Grows with each record of the source.
  bool removed = false;
};

/// Tunables of endpoint news.
struct EndpointNewsSettings
{
  /// Daemons of a failure domain that read the source often. Two, so that one may go.
  std::size_t readers = 2;

  /// Between two reads of a reader. A reclaim may come with a second of notice, so half of one is the most.
  Milliseconds readerPace{ 500 };

  /// Between two reads of a daemon that hears its readers: only to find what they may have missed.
  Milliseconds listenerPace{ 10'000 };

  /// A daemon that has heard of no read for so long reads by itself: two messages missed. Below repeat.
  Milliseconds readerSilence{ 1'200 };

  /// A daemon that hears of reads again goes on reading by itself for so long: twice its own pace.
  Milliseconds listenAfter{ 2'400 };

  /// Between two reads of a daemon that has no reader: so much for each daemon, as all may be without, but
  /// never more than ownPaceLimit.
  Milliseconds ownPacePerDaemon{ 30 };
  Milliseconds ownPaceLimit{ 1'200 };

  /// News is repeated in each message for so long, as a message may be lost.
  Milliseconds repeat{ 2'000 };

  Milliseconds timeout{ 800 };   ///< For one message.
  Milliseconds tick{ 200 };      ///< Between two looks at what is due.
  std::size_t remembered = 4096; ///< Versions kept of endpoints that are gone.
};

/// Keeps the picture of the endpoints. A few daemons of each failure domain read the endpoints' records
/// often and tell the others there what has changed; a daemon that hears of no read does it by itself. So
/// a leaving endpoint is known everywhere within about half a second, while the source is asked by
/// a handful of daemons. With 70 daemons that all read by themselves it took 2.1 s, longer than some notices.
///
/// On the control thread, but for Pace(). Register before the membership starts.
class EndpointNews
{
public:
  using Decode = std::function<Result<Endpoint>(const EndpointRecord&)>;

  /// References must outlive it.
  /// @param aChanged  called when the picture has changed
  EndpointNews(const EndpointNewsSettings& aSettings, MembershipService& aMembership,
               std::string aSelf, std::string aFailureDomain, Decode aDecode,
               std::function<void()> aChanged, const Clock& aClock);

  /// Begins to look at what is due.
  void Start();

  /// A record was read from the source.
  void OnRecord(const EndpointRecord& aRecord);

  /// All records there are were read from the source.
  /// @param aEnd  records of this version and above are not among them
  void OnWhole(const std::vector<EndpointRecord>& aRecords, std::int64_t aEnd);

  /// The source has answered a read; what it brought has been told by the calls above.
  void OnRead();

  /// The source does not answer, or answers again.
  void OnSource(bool aAnswers);

  /// How long to wait between two reads as things stand. Any thread.
  [[nodiscard]] Milliseconds Pace() const;

  /// Whether this daemon reads often, for others too. True until others are known. Any thread.
  [[nodiscard]] bool IsReader() const { return this->isReader; }

  /// Records so far that could not be read. Any thread.
  [[nodiscard]] std::int64_t Refused() const { return this->refused; }

  [[nodiscard]] FleetSnapshotPtr Snapshot() { return this->directory.Snapshot(); }

private:
  struct Recent
  {
    TimePoint at;
    EndpointRecord record;
  };

  /// One who tells of its reads.
  struct Sender
  {
    TimePoint since; ///< First message after a gap.
    TimePoint heard; ///< Last message.
  };

  /// @return whether the picture has changed
  bool Take(const EndpointRecord& aRecord, bool aFromPeer);
  [[nodiscard]] bool Apply(const EndpointRecord& aRecord, bool aFromPeer);
  [[nodiscard]] bool Refuse(const EndpointRecord& aRecord, const std::string& aReason);
  void TakeMessage(PeerKey aSender, std::string_view aBytes);
  void Tick();
  void ChooseReaders();
  void Forget();

  EndpointNewsSettings settings;
  MembershipService& membership;
  std::string self;
  std::string failureDomain;
  Decode decode;
  std::function<void()> changed;
  const Clock& clock;
  EndpointDirectory directory;
  std::unordered_map<std::string, std::int64_t> versions; ///< Newest known of each endpoint.
  std::deque<Recent> recent;                              ///< What the others are told.
  std::vector<PeerAddress> listeners;                     ///< The others of the failure domain.
  std::atomic<bool> isReader{ true };
  std::atomic<int> daemons{ 1 };
  std::atomic<TimePoint> listensUntil{ TimePoint::min() }; ///< Till then others read for this one.
  std::unordered_map<PeerKey, Sender> senders;
  std::unordered_map<std::string, std::string>
    refusals; ///< Last reason by id, for one log line each.
  std::atomic<std::int64_t> refused{ 0 };
  bool knowsWhole = false;
  bool isChanged = false; ///< Since the picture was published.
};

} // namespace lagoonward
