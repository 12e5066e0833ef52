#pragma once

#include "Lagoonward/Attempts/RequestDirectory.h"
#include "Lagoonward/Attempts/RunService.h"
#include "Lagoonward/Fleet/FleetStore.h"
#include "Lagoonward/Membership/MembershipService.h"

namespace lagoonward {

/// Tunables of the exchange about returning callers.
struct PeerRequestDirectorySettings
{
  Milliseconds findLimit{ 250 };        ///< Longest search before a request is simply run.
  Milliseconds readTimeout{ 1000 };     ///< Longest wait for a part of an answer.
  std::size_t maximumPartTokens = 2000; ///< Tokens in one part.
};

/// The request directory over the peers' transport: places are soft records with a sibling in another
/// failure domain, answers are read from the serving daemon.
class PeerRequestDirectory final : public RequestDirectory
{
public:
  /// Must be made before the membership starts.
  PeerRequestDirectory(const PeerRequestDirectorySettings& aSettings,
                       MembershipService& aMembership, const FleetStore& aFleet,
                       const std::string& aOwnId);

  /// Serves other daemons from here on. Before the membership starts.
  void Serve(RunService& aRuns);

  void Place(const RequestPlace& aPlace) override;
  void Find(const std::string& aKey, Found aFound) override;
  void Read(std::uint64_t aServer, const AnswerQuery& aQuery, Part aPart) override;

private:
  [[nodiscard]] FoundRequest Describe(const SoftRecord& aRecord) const;

  PeerRequestDirectorySettings settings;
  MembershipService& membership;
  const FleetStore& fleet;
  PeerKey self;
  RunService* runs = nullptr;
};

} // namespace lagoonward
