#pragma once

#include "Lagoonward/Attempts/RequestDirectory.h"
#include "Lagoonward/Attempts/RunService.h"
#include "Lagoonward/Fleet/FleetStore.h"
#include "Lagoonward/Membership/MembershipService.h"

namespace lagoonward {

/// Tunables of finding a repeated request and reading its answer.
struct PeerRequestDirectorySettings
{
  Milliseconds searchTimeout{ 250 };    ///< Longest search; after it the request is run anew.
  Milliseconds readTimeout{ 1000 };     ///< Longest wait for one part of an answer.
  std::size_t maximumPartTokens = 2000; ///< Most tokens in one part of an answer.
};

/// Request directory over the peer transport. The place of a request is a soft record with a replica in another failure
/// domain; its answer is read from the daemon that serves it.
class PeerRequestDirectory final : public RequestDirectory
{
public:
  /// Must be constructed before the membership starts.
  PeerRequestDirectory(const PeerRequestDirectorySettings& aSettings,
                       MembershipService& aMembership, const FleetStore& aFleet,
                       const std::string& aOwnId);

  /// Starts to handle reads of other daemons. Must be called before the membership starts.
  void Serve(RunService& aRuns);

  void PublishLocation(const RequestLocation& aPlace) override;
  void Find(const std::string& aKey, FindCallback aFound) override;
  void Read(std::uint64_t aServer, const AnswerQuery& aQuery, ReadCallback aPart) override;

private:
  [[nodiscard]] RemoteRequest ToFoundRequest(const SoftRecord& aRecord) const;

  PeerRequestDirectorySettings settings;
  MembershipService& membership;
  const FleetStore& fleet;
  PeerKey ownKey;
  RunService* runs = nullptr;
};

} // namespace lagoonward
