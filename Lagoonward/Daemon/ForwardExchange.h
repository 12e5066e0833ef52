#pragma once

#include "Lagoonward/Membership/MembershipService.h"
#include "Lagoonward/Relay/RequestForwarder.h"

#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Tunables of ForwardExchange.
struct ForwardExchangeSettings
{
  Milliseconds queryInterval{ 200 }; ///< Between two rounds of queries while the path is lost.
  /// Daemons asked in one round, whatever their number: the oldest known ones that accept requests, and as many others.
  std::size_t queriesPerRound = 4;
  Milliseconds timeout{ 800 };      ///< Of a query.
  Milliseconds maximumAge{ 2'000 }; ///< A daemon that has not answered for this long is not used.
  std::size_t targets = 2;          ///< Daemons offered for one request.

  /// A daemon of the own failure domain is preferred unless it has this many times as many open requests.
  double localPreference = 2;
};

/// State of a daemon that others may forward requests to.
struct ForwardState
{
  bool accepts = false; ///< It reaches endpoints and takes requests.
  std::string address;  ///< `IP:PORT` of its listener for forwarded requests.
  std::string token;    ///< To be sent with each of them.
  std::uint32_t openRequests = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(this->accepts, this->address, this->token, this->openRequests);
  }
};

/// Finds daemons that reach endpoints, for a daemon that reaches none. While the path is lost it asks a few daemons at a
/// time, one after the other, and keeps those that accept requests. Runs on the control thread, except for
/// Targets().
class ForwardExchange
{
public:
  /// @param aIsLost    whether this daemon has lost the path to all endpoints
  /// @param aOwnState  state of this daemon, for others that ask
  /// References must outlive it. Construct it, which registers the request handler, before the membership starts.
  ForwardExchange(const ForwardExchangeSettings& aSettings, MembershipService& aMembership,
                  PeerInfo aSelf, std::function<bool()> aIsLost,
                  std::function<ForwardState()> aOwnState, const Clock& aClock);

  /// Starts the periodic queries.
  void Start();

  /// Daemons to which a request may be forwarded, the best first; empty if none is known. Any thread.
  [[nodiscard]] std::vector<ForwardTarget> Targets();

private:
  /// A daemon that accepts requests.
  struct Candidate
  {
    ForwardState state;
    bool isLocal = false; ///< In the failure domain of this daemon.
    TimePoint answeredAt;
    std::uint32_t forwarded = 0; ///< Requests offered to it since its answer.
  };

  void Query();
  void QueryPeer(const Peer& aPeer);
  /// The daemons that accepted requests whose answers are the oldest.
  [[nodiscard]] std::vector<PeerKey> OldestCandidates(std::size_t aCount);
  void OnReply(const Peer& aPeer, const Result<std::string>& aReply);

  ForwardExchangeSettings settings;
  MembershipService& membership;
  PeerInfo self;
  std::function<bool()> isLost;
  std::function<ForwardState()> ownState;
  const Clock& clock;
  std::size_t nextPeer = 0; ///< Position in the view at which the next round begins.
  std::mutex mutex;
  std::unordered_map<PeerKey, Candidate> candidates; ///< Guarded by mutex.
};

} // namespace lagoonward
