#pragma once

#include "Lagoonward/Admission/SharedTokenBucket.h"
#include "Lagoonward/Core/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Settings of the places that the owners of endpoints give out.
struct PlaceSettings
{
  /// Places that an owner gives out itself as long as another daemon may be giving out the rest.
  int backupPlaces = 1;

  /// For this long after it became an owner, a primary acts as a backup: until then the daemons have told it what they
  /// have in flight, and the previous owners have learned of the change.
  Milliseconds takeoverDelay{ 1000 };

  /// After a rejection an endpoint gets nothing for this long: the time over which it counts its rejections.
  Milliseconds rejectionPause{ 1000 };

  /// Time after which a place that was withdrawn because of a rejection is given out again.
  Milliseconds recoveryInterval{ 2000 };

  /// How long a place stays taken after its request was abandoned, as the endpoint may not notice at once.
  Milliseconds abandonedTime{ 1000 };

  Milliseconds maximumLease{ 120'000 }; ///< Longest time for which a place is taken.
  Milliseconds idleTimeout{ 60'000 };   ///< An endpoint without requests for this long is removed.
  std::size_t maximumEndpoints = 4096;  ///< Beyond, no places are given out for further endpoints.
  std::size_t maximumLeasesPerEndpoint = 4096; ///< Beyond, none is recorded.
  std::size_t maximumWaiting = 1024;           ///< For one endpoint; further requests are refused.
};

/// What a daemon tells or asks the owners of an endpoint about one of its requests.
enum class PlaceAction : std::uint8_t
{
  Request,       ///< Asks for a place.
  Declare,       ///< The request is in flight there already.
  Release,       ///< The request has ended.
  ReleaseLater,  ///< It was abandoned; the endpoint may still run it.
  ReportRejected ///< The endpoint rejected it.
};

/// Message to the owners of an endpoint.
struct PlaceMessage
{
  std::uint64_t endpoint = 0; ///< Hash of its id.
  std::uint64_t run = 0;      ///< Identifies the sending daemon process.
  std::uint64_t lease = 0;    ///< Identifies the request; unique over all daemons.
  PlaceAction action = PlaceAction::Request;
  std::uint32_t places = 0;  ///< Requests that the endpoint runs at once.
  std::uint32_t leaseMs = 0; ///< The request has ended after this time.
  std::uint32_t waitMs = 0;  ///< For a Request: how long it may wait for the reply.
  std::uint32_t budgetMs =
    0; ///< For a Request: how long it may wait for a place in all, over several messages.
  std::uint32_t ageMs = 0;   ///< For a Request: since its arrival; the oldest goes first.
  std::int32_t priority = 0; ///< Higher values are served first.
  std::uint64_t account = 0; ///< Hash of the client account; accounts take turns.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->endpoint, this->run, this->lease, this->action, this->places, this->leaseMs,
             this->waitMs, this->budgetMs, this->ageMs, this->priority, this->account);
  }
};

/// An owner's reply to a Request.
enum class PlaceAnswer : std::uint8_t
{
  NotOwner, ///< This daemon does not own the endpoint, according to its list of daemons.
  Granted,  ///< The request may be sent now; the place is taken until it is released.
  Full,     ///< No place within the time that the request may wait.
};

struct PlaceReply
{
  PlaceAnswer answer = PlaceAnswer::NotOwner;
  std::uint32_t retryAfterMs = 0; ///< With Full: when a place is expected.

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->answer, this->retryAfterMs);
  }
};

/// Gives out the places of the endpoints that this daemon owns, so that all daemons together send an endpoint no more
/// requests at once than it runs, however old their updates are. Requests that find no place wait here, ordered by
/// priority, then by turns of the client accounts, then by age. One that would wait for too long is refused at once.
///
/// The primary owner gives out all places, and the backup is told of each. The backup, and a primary that has not been
/// an owner for long, give out `backupPlaces` of them at a time. If
/// an endpoint rejects a request nevertheless, it has less room than is known here: it gets nothing for
/// `rejectionPause`, and then no more than it had.
///
/// Performs no I/O. Not thread-safe: used on one loop. Responders must not call it.
class PlaceLedger
{
public:
  using Responder = std::function<void(const PlaceReply& aReply)>;

  PlaceLedger(const PlaceSettings& aSettings, const Clock& aClock);

  /// Handles a daemon's message.
  /// @param aRole      this daemon's role for the endpoint
  /// @param aIsStable  whether the list of daemons has been unchanged for TakeoverDelay(), so that no other daemon
  ///                   owned the endpoint before
  /// @param aRespond   called once, at once or later, for a Request
  void Handle(const PlaceMessage& aMessage, ReserveRole aRole, bool aIsStable,
              const Responder& aRespond);

  /// Releases the places whose time is up, and answers the requests that have waited long enough. Must be called when
  /// a Request's `waitMs` have passed.
  void Expire();

  /// Releases all places of a daemon process that has ended.
  void OnRunEnded(std::uint64_t aRun);

  /// Forgets the endpoints that this daemon no longer owns: should it own them again, it knows nothing of what is in flight
  /// there. Requests that wait are told to ask the new owners.
  void OnOwnersChanged(const std::function<bool(std::uint64_t aEndpoint)>& aIsOwned);

  /// Time without changes after which the list of daemons counts as stable.
  [[nodiscard]] Milliseconds TakeoverDelay() const { return this->settings.takeoverDelay; }

  /// Places of an endpoint that are taken.
  [[nodiscard]] int Taken(std::uint64_t aEndpoint) const;

private:
  struct Lease
  {
    std::uint64_t run = 0;
    TimePoint begunAt;
    TimePoint expiresAt;
    bool isGrantedHere = false;
  };

  struct Waiting
  {
    PlaceMessage message;
    TimePoint arrivedAt; ///< At the daemon that its caller sent it to.
    TimePoint until;
    Responder respond;
  };

  struct EndpointPlaces
  {
    int places = 1;
    int allowed = 1;                      ///< At most `places`; fewer after a rejection.
    std::optional<TimePoint> pausedUntil; ///< Empty before the first rejection.
    bool isPrimary = false;
    TimePoint ownedSince; ///< Since when this daemon has been told of all requests in flight.
    TimePoint usedAt;
    double meanSeconds = 0; ///< Averaged time for which a place is taken; zero while unknown.
    std::unordered_map<std::uint64_t, Lease> leases;
    std::vector<Waiting> waiting; ///< In order of arrival.
    std::unordered_map<std::uint64_t, TimePoint>
      servedAt; ///< When an account was last granted a place.
  };

  [[nodiscard]] EndpointPlaces* FindOrCreate(const PlaceMessage& aMessage, bool aIsStable);
  void HandleRequest(EndpointPlaces& aEndpoint, const PlaceMessage& aMessage,
                     const Responder& aRespond);
  void Declare(EndpointPlaces& aEndpoint, const PlaceMessage& aMessage, bool aIsGrantedHere) const;
  void Release(EndpointPlaces& aEndpoint, std::uint64_t aLease) const;
  void OnRejected(EndpointPlaces& aEndpoint, std::uint64_t aLease) const;
  /// Time for which the endpoint still gets nothing because of a rejection.
  [[nodiscard]] Milliseconds PauseLeft(const EndpointPlaces& aEndpoint) const;
  [[nodiscard]] bool HasRoom(const EndpointPlaces& aEndpoint) const;
  /// Places that may be taken now, as far as rejections are concerned.
  [[nodiscard]] int AllowedPlaces(const EndpointPlaces& aEndpoint) const;
  /// Expected time until a request would have a place.
  /// @param aArrivedAt  see Waiting
  [[nodiscard]] Milliseconds ExpectedWait(const EndpointPlaces& aEndpoint, int aPriority,
                                          TimePoint aArrivedAt) const;
  void Grant(EndpointPlaces& aEndpoint, const PlaceMessage& aMessage,
             const Responder& aRespond) const;
  void GrantWaiting(EndpointPlaces& aEndpoint) const;
  void ExpireEndpoint(EndpointPlaces& aEndpoint) const;
  [[nodiscard]] std::vector<Waiting>::iterator NextWaiting(EndpointPlaces& aEndpoint) const;
  [[nodiscard]] PlaceReply FullReply(const EndpointPlaces& aEndpoint, int aPriority,
                                     TimePoint aArrivedAt) const;

  PlaceSettings settings;
  const Clock& clock;
  std::unordered_map<std::uint64_t, EndpointPlaces> endpoints; ///< By hash of the id.
};

} // namespace lagoonward
