#pragma once

#include "Lagoonward/Core/Log.h"
#include "Lagoonward/Membership/MembershipSettings.h"
#include "Lagoonward/Membership/PeerTable.h"
#include "Lagoonward/Membership/PeerTransport.h"
#include "Lagoonward/Membership/SharedStates.h"

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonward {

/// Copies shared states between daemons. A state is requested relative to the version that the requester has, so that
/// the bytes on both links follow what has changed, and in pieces, so that no timeout depends on its size. Whatever the
/// requester lacks (several versions, all of them) or has besides (another content under the same version number) is
/// covered by naming its version with a digest; a holder without that version sends the whole state, compressed. The
/// digest of the decoded state shows that it is complete.
///
/// One transfer of a topic is in progress at a time. If it makes no progress for a while, another daemon that announced
/// a newer version is asked as well. A version that is announced meanwhile is requested afterwards, relative to the one
/// received. Used on the control thread only, except for LastProgress().
class StateTransfer
{
public:
  /// The components that it uses. All outlive it.
  struct Components
  {
    PeerTransport& transport;
    const PeerTable& peers;
    SharedStates& states;
  };

  /// @param aOnAdopted  called for each received state after it was stored
  StateTransfer(const Clock& aClock, Components aComponents, const MembershipSettings& aSettings,
                std::function<void(const SharedState&)> aOnAdopted);

  /// Registers the request handler with the transport.
  void Register();

  /// Handles the announcement of a version that a peer has; requests it if it is newer.
  void OnAnnouncement(PeerKey aPeer, const VersionAnnouncement& aAnnouncement);

  /// Asks a second daemon where a transfer makes no progress. Must be called every tick.
  void OnTick();

  /// Last time at which a piece arrived; TimePoint::min() before the first. Any thread.
  [[nodiscard]] TimePoint LastProgress() const { return this->lastProgress; }

private:
  /// A transfer in progress from one daemon.
  struct Fetch
  {
    std::uint64_t id = 0;
    PeerKey from = 0;
    TimePoint startedAt;
    TimePoint progressAt;
    StateVersion base;    ///< Version that the request is relative to.
    StateVersion version; ///< Version being transferred; empty before the first piece.
    std::string bytes;    ///< Pieces received so far.
  };

  /// A daemon that announced a version.
  struct Candidate
  {
    PeerKey peer = 0;
    std::int64_t version = -1;
  };

  struct Topic
  {
    std::vector<Candidate> candidates;
    std::vector<Fetch> fetches; ///< At most kMaximumFetches.
  };

  /// Identifies an encoding: topic, version, version of the base.
  using EncodingKey = std::tuple<std::uint64_t, std::int64_t, std::int64_t>;

  void StartFetch(std::uint64_t aTopic);
  void RequestPiece(std::uint64_t aTopic, const Fetch& aFetch);
  void OnResponse(std::uint64_t aTopic, std::uint64_t aFetch, const Result<std::string>& aResponse);
  /// Adds a piece to the transfer. @return why the transfer has failed, or an empty text
  [[nodiscard]] std::string AddPiece(std::uint64_t aTopic, Fetch& aFetch, const StatePiece& aPiece);
  /// Decodes and stores a state of which all pieces have arrived. @return see AddPiece()
  [[nodiscard]] std::string Complete(std::uint64_t aTopic, const Fetch& aFetch,
                                     const StatePiece& aPiece);
  void DropFetch(std::uint64_t aTopic, std::uint64_t aFetch, bool aDropCandidate);
  [[nodiscard]] Fetch* FindFetch(std::uint64_t aTopic, std::uint64_t aFetch);
  [[nodiscard]] Result<std::string> HandleRequest(std::string_view aBytes);
  /// The encoded difference between two stored versions; computed once, as several daemons request the same one.
  [[nodiscard]] const std::string& Encoding(std::uint64_t aTopic, const StateVersion& aVersion,
                                            const StateVersion& aBase);

  const Clock& clock;
  Components components;
  const MembershipSettings& settings;
  std::function<void(const SharedState&)> onAdopted;
  Log log;
  std::unordered_map<std::uint64_t, Topic> topics;
  std::map<EncodingKey, std::string> encodings; ///< Of retained versions.
  std::uint64_t nextFetch = 1;
  std::atomic<TimePoint> lastProgress{ TimePoint::min() };
};

} // namespace lagoonward
